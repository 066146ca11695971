package discovery

import (
	"strings"
	"time"

	"yarrowridge/internal/controlplane/coreapi"
	"yarrowridge/internal/controlplane/store"
	"yarrowridge/internal/controlplane/transaction"
	"yarrowridge/internal/controlplane/view"
)

const (
	routerKeyPrefix = "place/"       // part of the stored format
	routerTTL       = 24 * time.Hour // a router without heartbeats for this long is removed
)

// RouterKey returns the key under which a router is stored.
func RouterKey(addr string) string { return routerKeyPrefix + addr }

// RouterDirectory stores the addresses of routers on disk. If a router restarts with seeds that no longer exist, it can't find
// the core, but the core sends it the view. Remember and Count are safe for concurrent use; only the run loop's goroutine
// calls Announce.
type RouterDirectory struct {
	Committed   func() *store.Store               // returns the committed state
	SubmitLater func(func(*transaction.Tx) error) // schedules an operation on the run loop, or drops it
	Notify      func(addr string, v view.View)    // sends the view to the router at an address; called in a new goroutine

	inactiveSince map[string]time.Time // by key, of routers that send no heartbeats
}

// Remember stores a router unless its address is already stored.
func (d *RouterDirectory) Remember(router coreapi.Node) {
	key := RouterKey(router.Addr)
	if _, ok := d.Committed().Get(key); ok {
		return
	}
	d.SubmitLater(func(tx *transaction.Tx) error {
		if _, ok := tx.Get(key); ok {
			return nil
		}
		return tx.Put(key, &router)
	})
}

// Count returns the number of stored routers.
func (d *RouterDirectory) Count() int {
	count := 0
	d.Committed().ForEachWithPrefix(routerKeyPrefix, func(string, []byte) { count++ })
	return count
}

// Announce sends the view to each stored router that sends no heartbeats. live contains those that do, by address. Routers that
// have sent none for routerTTL are removed. That period is counted from when this process first found a router inactive.
func (d *RouterDirectory) Announce(v view.View, live map[string]coreapi.Node) {
	if d.inactiveSince == nil {
		d.inactiveSince = map[string]time.Time{}
	}
	inactive := map[string]bool{}
	var expired []string
	d.Committed().ForEachWithPrefix(routerKeyPrefix, func(key string, _ []byte) {
		addr := strings.TrimPrefix(key, routerKeyPrefix)
		if _, isLive := live[addr]; isLive {
			return
		}
		inactive[key] = true
		since, ok := d.inactiveSince[key]
		if !ok {
			since = time.Now()
			d.inactiveSince[key] = since
		}
		if time.Since(since) > routerTTL {
			expired = append(expired, key)
			return
		}
		go d.Notify(addr, v)
	})
	for key := range d.inactiveSince {
		if !inactive[key] {
			delete(d.inactiveSince, key)
		}
	}
	if len(expired) == 0 {
		return
	}
	d.SubmitLater(func(tx *transaction.Tx) error {
		for _, key := range expired {
			tx.Delete(key)
		}
		return nil
	})
}
