package dissemination

import "sort"

// Compare returns the versions of the records in the shards whose digests differ from another node's. Digests of a node
// with fewer shards differ in those that it lacks.
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

// Repair returns what a node sends to another one whose answer to its digests is difference: in the shards that differ,
// the records that are newer here, in the order of their keys, and the keys of those that are newer there.
func (s *Store) Repair(from string, difference Difference) Repair {
	repair := Repair{From: from}
	remote := map[string]RecordVersion{}
	for _, version := range difference.Versions {
		remote[version.Key] = version
		record, _, ok := s.Get(version.Key)
		if !ok || version.newerThan(record.recordVersion()) {
			repair.WantedKeys = append(repair.WantedKeys, version.Key)
		}
	}
	for _, i := range difference.Shards {
		if i < 0 || i >= ShardCount {
			continue // from a faulty node
		}
		s.shards[i].forEach(func(key string, stored storedRecord) {
			version, ok := remote[key]
			if !ok || stored.record.recordVersion().newerThan(version) {
				repair.Records = append(repair.Records, stored.record)
			}
		})
	}
	sort.Slice(repair.Records, func(i, j int) bool { return repair.Records[i].Key < repair.Records[j].Key })
	return repair
}
