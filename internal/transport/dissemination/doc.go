// Package dissemination brings records to every node: a store of them on each node, a tree over which new ones are
// broadcast, and anti-entropy that repairs what the broadcast missed.
//
// Anti-entropy is that of Demers et al., Epidemic Algorithms for Replicated Database Maintenance (PODC 1987), in its
// push-pull form. A node sends a digest for each shard of its store to another one ([Digests]); that one names the
// versions in the shards that differ ([Difference]); the first hands over what it has newer and asks for what it lacks
// ([Repair]); the second answers with that ([Update]). A deleted record leaves a tombstone, which Demers et al. call a
// death certificate, so that no replica brings it back.
//
// The pair of a broadcast tree with repair is that of Leitão et al., Epidemic Broadcast Trees (SRDS 2007). Unlike
// there the tree is not built from the messages: every node computes it from the same membership ([Neighbours]).
//
// The package has no I/O: who sends the messages, when and to whom is up to its caller.
package dissemination
