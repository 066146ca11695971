// Package quota keeps a tenant's requests within a limit of units in any rolling window, over a fleet of routers that can't
// ask one another before each request.
//
// The core keeps a Pool for each tenant: which holder (a run of a router) was allocated how many of the limit's units. A
// router keeps a Share for each tenant and admits requests from what it holds, without asking anyone: a request reserves
// units, and commits them when it leaves for a runner or cancels them. A committed unit can be reserved again once the
// window is over. Transfers move units between the pool and a share: an acquire gets more of them, a return gives back idle
// ones. Shares is all of a router's shares with the loop that makes their transfers; Saving is how the core divides free units
// among requests of unequal cost.
//
// Units of a holder that is gone for good cool: what it committed last may still count in somebody's window, so that nobody
// else gets them until a window is over. Meanwhile the tolerance, where a limit grants one, lets holders have as many units
// above the limit; what is used of it is a Charge, and counts for as long as some window may see both spends.
//
// Invariants:
//
//   - The units allocated and cooling in a pool never sum to more than the limit (or, once the limit was lowered, than what
//     was out at that time), plus the tolerance. So no window over all holders sees more than the limit and the tolerance,
//     whichever of them are cut off or crash.
//   - A holder can spend a unit only while it holds it. A returned unit is struck off at the share before the core is asked to
//     take it, and only units that are neither reserved nor within the window are returned.
//   - A transfer counts once. A holder numbers its transfers of a tenant, one at a time is in flight, it is repeated with its
//     number until it is answered, and the pool ignores each number that is not above the last one applied.
//   - Sequence numbers never go back, neither at the pool nor at a share, which ignores each answer but that to the transfer
//     in flight. A run that ended does not resume: the next run of the router is another holder.
//   - A holder that has had no contact with the core for ContactTTL spends nothing; the core starts to cool the units of a
//     silent holder only later than that.
package quota
