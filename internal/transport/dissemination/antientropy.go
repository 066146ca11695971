package dissemination

import "sort"

// Compare returns the versions of all records in the shards whose digests differ from those of another node. A shard
// without a digest in other counts as different.
func (s *Store) Compare(other Digests) Difference {
	var difference Difference
	own := s.Digests("")
	for i := range s.shards {
		if i < len(other.Shards) && other.Shards[i] == own.Shards[i] {
			continue
		}
		difference.Shards = append(difference.Shards, i)
		s.shards[i].forEach(func(_ string, stored storedRecord) {
			difference.Versions = append(difference.Versions, stored.record.recordVersion())
		})
	}
	return difference
}

// Repair returns the message to send to a node that answered this node's digests with difference. For the shards that
// differ it has the records that are newer here, sorted by key, and the keys of the records that are newer there. A record
// that one of the nodes lacks counts as newer on the other.
func (s *Store) Repair(from string, difference Difference) Repair {
	repair := Repair{From: from}
	remoteVersions := map[string]RecordVersion{}
	for _, version := range difference.Versions {
		remoteVersions[version.Key] = version
		record, _, ok := s.Get(version.Key)
		if !ok || version.newerThan(record.recordVersion()) {
			repair.WantedKeys = append(repair.WantedKeys, version.Key)
		}
	}
	for _, i := range difference.Shards {
		if i < 0 || i >= ShardCount {
			continue // sent by a faulty node
		}
		s.shards[i].forEach(func(key string, stored storedRecord) {
			version, ok := remoteVersions[key]
			if !ok || stored.record.recordVersion().newerThan(version) {
				repair.Records = append(repair.Records, stored.record)
			}
		})
	}
	sort.Slice(repair.Records, func(i, j int) bool { return repair.Records[i].Key < repair.Records[j].Key })
	return repair
}
