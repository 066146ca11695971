// Package quota limits the units that a tenant's requests spend in any rolling window across a fleet of routers, without a
// call to the control plane for each request.
//
// The core keeps a Pool for each tenant. It records how many of the limit's units are allocated to each holder; a holder is
// one run of a router process. A router keeps a Share for each tenant and admits requests from the units allocated to it. A
// request first reserves units, then either commits them when it is sent to a runner or cancels the reservation. A committed
// unit can be reserved again once the window is over. Transfers move units between the pool and a share: an acquire allocates
// more units to the share, a return gives idle ones back. Shares holds all shares of a router and runs their transfers. Saving
// is the core's policy for dividing free units among requests of unequal cost.
//
// The units of a holder that is gone for good are cooling: its last spends may still count in some window, so its units are
// allocated to no other holder until a window has passed. If a limit has a tolerance, other holders may meanwhile be allocated
// as many units above the limit, up to the tolerance. Each use of the tolerance is recorded as a Charge, which counts until no
// window can contain both a spend that it covers and a later one.
//
// Invariants:
//
//   - The allocated and cooling units of a pool never exceed the limit plus the tolerance. After the limit was lowered, the
//     number of units that were allocated at that time takes the place of the limit. So the spends of all holders in any window
//     stay within the limit plus the tolerance, even if holders are partitioned from the core or crash.
//   - A holder can spend a unit only while the unit is allocated to it. A share deducts returned units before it sends the
//     return to the core, and returns only units that are neither reserved nor committed within the window.
//   - A transfer is applied at most once. A holder numbers its transfers for each tenant and has one of them in flight at a
//     time. It repeats a transfer under the same sequence number until the core responds, and the pool ignores every sequence
//     number that is not above the last one applied.
//   - Sequence numbers never decrease, neither in the pool nor in a share. A share ignores every response except the one to the
//     transfer in flight. A run that has ended never resumes: the next run of the router is another holder.
//   - A holder that has had no contact with the core for ContactTTL spends nothing. The core starts cooling the units of an
//     unreachable holder only after a longer time than that.
package quota
