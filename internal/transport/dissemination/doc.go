// Package dissemination replicates records to every node. Each node has a [Store] of all records, new records are broadcast
// over a tree, and anti-entropy repairs what the broadcast missed.
//
// Anti-entropy is the push-pull form of Demers et al., Epidemic Algorithms for Replicated Database Maintenance (PODC
// 1987). Node A sends node B a digest of each shard of its store ([Digests]). B answers with its record versions in the
// shards that differ ([Difference]). A sends the records that are newer on A and requests those that are newer on B
// ([Repair]). B answers with the requested records ([Update]). An expired record leaves a tombstone, the death certificate
// of Demers et al., so that other replicas do not bring it back.
//
// The combination of a broadcast tree with repair follows Leitão et al., Epidemic Broadcast Trees (SRDS 2007). Unlike in
// that paper, the tree is not built from the message flow: every node computes it from the membership ([Neighbours]).
//
// The package does no I/O. Its callers decide when to send the messages and to which nodes.
package dissemination
