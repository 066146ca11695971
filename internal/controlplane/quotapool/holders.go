package quotapool

import (
	"fmt"
	"maps"

	"github.com/rotisserie/eris"

	"yarrowridge/internal/controlplane/transaction"
)

const (
	holderPrefix   = "holder/" // begins the keys of storedHolder records
	holderCountKey = "holders" // of the holderCount
	// maxUnusedHolders is how many records of holders without units may lie there before they are dropped.
	maxUnusedHolders = 64
)

// holderNumbers knows the numbers under which holders of quota units are stored, by their names.
type holderNumbers map[string]numberedHolder

// numberedHolder is a holder's number, with the stored bytes of its record: it is good for as long as the store, or
// the batch under way, has these very bytes.
type numberedHolder struct {
	number uint64
	key    string
	raw    []byte
}

func holderKey(number uint64) string { return fmt.Sprintf("%s%x", holderPrefix, number) }

// number gives a holder's number. One that has none gets it within the batch.
func (h holderNumbers) number(tx *transaction.Tx, name string) (uint64, error) {
	if known, ok := h[name]; ok && known.key != "" {
		if raw, ok := tx.Get(known.key); ok && transaction.SameRecord(raw, known.raw) {
			return known.number, nil
		}
	}
	var count holderCount
	if raw, ok := tx.Get(holderCountKey); ok {
		if _, err := count.UnmarshalMsg(raw); err != nil {
			return 0, eris.Wrap(err, "quotapool: decode the count of holders")
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
	known := numberedHolder{number: count.Last, key: holderKey(count.Last), raw: raw}
	tx.PutRaw(known.key, raw)
	h[name] = known
	return known.number, nil
}

// addUnnumbered adds a holder that a pool names as older versions did. It gets its number when the pool is put.
func (h holderNumbers) addUnnumbered(name string) {
	if _, known := h[name]; !known {
		h[name] = numberedHolder{}
	}
}

// name gives the name of the holder with a number.
func (h holderNumbers) name(tx *transaction.Tx, number uint64) (string, error) {
	key := holderKey(number)
	raw, ok := tx.Get(key)
	if !ok {
		return "", eris.Errorf("quotapool: no holder of quota units has the number %d", number)
	}
	var holder storedHolder
	if _, err := holder.UnmarshalMsg(raw); err != nil {
		return "", eris.Wrapf(err, "quotapool: decode the holder with number %d", number)
	}
	h[holder.Name] = numberedHolder{number: number, key: key, raw: raw}
	return holder.Name, nil
}

// DropUnusedHolders drops the records of holders that no pool names any longer, once there are many.
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

// absent lists the holders that are known and not live: the only ones of which units may have to be taken back.
func (h holderNumbers) absent(live LiveHolders) []string {
	var names []string
	for name := range h {
		if !live.Holders[name] {
			names = append(names, name)
		}
	}
	return names
}
