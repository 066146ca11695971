package quotapool

import (
	"fmt"
	"maps"

	"github.com/rotisserie/eris"

	"yarrowridge/internal/controlplane/transaction"
)

const (
	holderPrefix   = "holder/" // prefix of the keys of storedHolder records
	holderCountKey = "holders" // key of the holderCount record
	// maxUnusedHolders is how many records of holders that no pool refers to may accumulate before they are deleted.
	maxUnusedHolders = 64
)

// holderNumbers caches, by name, the numbers under which holders of quota units are stored.
type holderNumbers map[string]numberedHolder

// numberedHolder is a holder's number with the bytes of its stored record. It is valid as long as the store, or the current
// batch, has the same slice under the key (see transaction.SameRecord).
type numberedHolder struct {
	number uint64
	key    string
	raw    []byte
}

func holderKey(number uint64) string { return fmt.Sprintf("%s%x", holderPrefix, number) }

// number returns a holder's number. A holder without a number is assigned one within the batch.
func (h holderNumbers) number(tx *transaction.Tx, name string) (uint64, error) {
	if cached, ok := h[name]; ok && cached.key != "" {
		if raw, ok := tx.Get(cached.key); ok && transaction.SameRecord(raw, cached.raw) {
			return cached.number, nil
		}
	}
	var count holderCount
	if raw, ok := tx.Get(holderCountKey); ok {
		if _, err := count.UnmarshalMsg(raw); err != nil {
			return 0, eris.Wrap(err, "quotapool: decode the holder count")
		}
	}
	count.Last++
	raw, err := (&storedHolder{Name: name}).MarshalMsg(nil)
	if err != nil {
		return 0, err
	}
	if err := tx.Put(holderCountKey, &count); err != nil {
		return 0, err
	}
	assigned := numberedHolder{number: count.Last, key: holderKey(count.Last), raw: raw}
	tx.PutRaw(assigned.key, raw)
	h[name] = assigned
	return assigned.number, nil
}

// addUnnumbered adds a holder that a pool record of an older version refers to by name. It is assigned a number when the pool
// is next stored.
func (h holderNumbers) addUnnumbered(name string) {
	if _, known := h[name]; !known {
		h[name] = numberedHolder{}
	}
}

// name returns the name of the holder with a number.
func (h holderNumbers) name(tx *transaction.Tx, number uint64) (string, error) {
	key := holderKey(number)
	raw, ok := tx.Get(key)
	if !ok {
		return "", eris.Errorf("quotapool: no record of the quota holder with number %d", number)
	}
	var holder storedHolder
	if _, err := holder.UnmarshalMsg(raw); err != nil {
		return "", eris.Wrapf(err, "quotapool: decode the record of the quota holder with number %d", number)
	}
	h[holder.Name] = numberedHolder{number: number, key: key, raw: raw}
	return holder.Name, nil
}

// DropUnusedHolders deletes the records of holders that no pool refers to if there are more than maxUnusedHolders of them.
func (p *Pools) DropUnusedHolders(tx *transaction.Tx) error {
	names := map[string]string{} // by key
	var holder storedHolder
	tx.Committed().ForEachWithPrefix(holderPrefix, func(key string, raw []byte) {
		if _, err := holder.UnmarshalMsg(raw); err == nil {
			names[key] = holder.Name
		}
	})
	if len(names) <= maxUnusedHolders {
		return nil
	}
	pools, err := p.readAll(tx)
	if err != nil {
		return err
	}
	used := map[string]bool{}
	for _, pool := range pools {
		for holder := range pool.Allocations {
			used[holder] = true
		}
	}
	maps.DeleteFunc(names, func(_, name string) bool { return used[name] })
	if len(names) <= maxUnusedHolders {
		return nil
	}
	for key, name := range names {
		tx.Delete(key)
		delete(p.cache.holders, name)
	}
	return nil
}

// absent returns the cached holders that are not live. Only units of these may have to be reclaimed.
func (h holderNumbers) absent(live LiveHolders) []string {
	var names []string
	for name := range h {
		if !live.Holders[name] {
			names = append(names, name)
		}
	}
	return names
}
