package quotapool

import (
	"fmt"
	"math/rand/v2"
	"time"

	"yarrowridge/internal/model/quota"
)

// chargeInterval is how long one charge of a tolerance is added to.
const chargeInterval = 250 * time.Millisecond

// openCharge is the charge to which what is acquired of a tenant's tolerance is added for a while.
type openCharge struct {
	id       uint64
	openedAt time.Time
}

// chargeFor gives the ID of the charge that what is acquired now of a tenant's tolerance counts to. IDs are drawn at
// random: no other primary has used one, and what this run knows of its age is never that of another charge.
func (p *Pools) chargeFor(tenant string) uint64 {
	now := time.Now()
	open, ok := p.charges[tenant]
	if !ok || now.Sub(open.openedAt) >= chargeInterval {
		open = openCharge{id: rand.Uint64(), openedAt: now}
		p.charges[tenant] = open
	}
	return open.id
}

// chargeKey names a charge in Pools.firstSeen.
func chargeKey(tenant string, id uint64) string { return fmt.Sprintf("charge/%s/%d", tenant, id) }

// chargeTTL is how long a charge of a tolerance counts once it has been seen. A spend that it stands for comes
// within a window of the last acquire, and any window that holds this spend has ended a window later.
func chargeTTL(window time.Duration) time.Duration { return chargeInterval + 2*window + 2*quota.Margin }
