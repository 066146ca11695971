// Package modelcheck checks the core's replication protocol as it is: real core servers (voters, leases, replication,
// membership, stores) in simulated time, under a schedule that decides which messages are late, doubled or unanswered,
// which links are cut, and when processes die, stand still, and disks fail or are lost. What operators saw is held against a
// linearizable register that changes by compare-and-set, what routers spend against the limit of any window. It has tests
// only; docs/control.md tells what they show.
package modelcheck
