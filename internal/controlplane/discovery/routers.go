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
	routerTTL       = 24 * time.Hour // a router silent for so long is forgotten
)

// RouterKey is the key under which a router's address is stored.
func RouterKey(addr string) string { return routerKeyPrefix + addr }

// RouterDirectory keeps on disk where routers have been, so that a router which starts again with seeds that name machines
// long gone is found by the core, if it can't find the core itself. Remember and Count may be called concurrently; the run
// loop's goroutine calls Announce.
type RouterDirectory struct {
	Committed   func() *store.Store
	SubmitLater func(func(*transaction.Tx) error) // has the run loop apply an operation
	Notify      func(addr string, v view.View)    // tells the router at an address the view; in a goroutine of its own

	silentSince map[string]time.Time // by key: routers that send no heartbeats
}

// Remember stores a router's address, once for each address.
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

// Count is the number of routers whose address is on disk.
func (d *RouterDirectory) Count() int {
	count := 0
	d.Committed().ForEachWithPrefix(routerKeyPrefix, func(string, []byte) { count++ })
	return count
}

// Announce tells the view to each router that sends no heartbeats; live are those that do, by their addresses. Routers silent for long
// are forgotten. Time is counted from when this process first saw them silent.
func (d *RouterDirectory) Announce(v view.View, live map[string]coreapi.Node) {
	if d.silentSince == nil {
		d.silentSince = map[string]time.Time{}
	}
	silent := map[string]bool{}
	var expired []string
	d.Committed().ForEachWithPrefix(routerKeyPrefix, func(key string, _ []byte) {
		addr := strings.TrimPrefix(key, routerKeyPrefix)
		if _, sends := live[addr]; sends {
			return
		}
		silent[key] = true
		since, ok := d.silentSince[key]
		if !ok {
			since = time.Now()
			d.silentSince[key] = since
		}
		if time.Since(since) > routerTTL {
			expired = append(expired, key)
			return
		}
		go d.Notify(addr, v)
	})
	for key := range d.silentSince {
		if !silent[key] {
			delete(d.silentSince, key)
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
