package quotapool

import (
	"fmt"
	"math/rand/v2"
	"time"

	"yarrowridge/internal/model/quota"
)

// chargeInterval is how long units acquired of a tolerance are added to the same charge.
const chargeInterval = 250 * time.Millisecond

// openCharge is the charge that units acquired of a tenant's tolerance are added to during chargeInterval.
type openCharge struct {
	id       uint64
	openedAt time.Time
}

// currentChargeID returns the ID of the charge that units acquired now of a tenant's tolerance are added to. IDs are random,
// so that they differ from those of other primaries and an age in Pools.firstSeen never belongs to another charge.
func (p *Pools) currentChargeID(tenant string) uint64 {
	now := time.Now()
	open, ok := p.charges[tenant]
	if !ok || now.Sub(open.openedAt) >= chargeInterval {
		open = openCharge{id: rand.Uint64(), openedAt: now}
		p.charges[tenant] = open
	}
	return open.id
}

// chargeKey is the key of a charge in Pools.firstSeen.
func chargeKey(tenant string, id uint64) string { return fmt.Sprintf("charge/%s/%d", tenant, id) }

// chargeTTL is how long a charge counts against a tolerance after a sweep first sees it. The spends that it covers occur
// within one window of its last acquire, and every window that contains such a spend has ended one window later.
func chargeTTL(window time.Duration) time.Duration { return chargeInterval + 2*window + 2*quota.Margin }
