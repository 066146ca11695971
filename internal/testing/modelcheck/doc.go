// Package modelcheck checks the core's replication protocol on its production code: real core servers (voters, leases,
// replication, membership, stores) run in simulated time under a schedule of faults. A schedule delays and duplicates
// messages, delays answers past their callers' timeouts, partitions the network, kills and freezes processes, and makes
// disks fail or lose their data. The operators' reads and writes are checked against a linearizable register that changes
// by compare-and-set, and the units that routers spend against the limit of every window. The package contains only tests;
// docs/control.md describes their results.
package modelcheck
