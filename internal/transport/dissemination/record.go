package dissemination

// ConfigKey is the key of the fleet configuration's record. That record never expires.
const ConfigKey = "layout"

// RunnerKeyPrefix begins the key of a registered runner's record; the runner's ID follows.
const RunnerKeyPrefix = "runners/"

// ConfigRecord returns the record of a version of the fleet configuration, in its encoded form.
func ConfigRecord(version uint64, raw []byte) Record {
	return Record{Key: ConfigKey, Version: version, Body: raw}
}

// newerThan reports whether r is newer than other, which has the same key. The order is total, so that replicas agree
// also where two writers used one version: the greater body wins then.
func (r *Record) newerThan(other *Record) bool {
	if r.Generation == other.Generation && r.Version == other.Version {
		return string(r.Body) > string(other.Body)
	}
	return r.recordVersion().newerThan(other.recordVersion())
}

// recordVersion returns the record without its body.
func (r *Record) recordVersion() RecordVersion { return RecordVersion{r.Key, r.Generation, r.Version} }

// newerThan reports whether v is newer than w, which has the same key, by generation and then version.
func (v RecordVersion) newerThan(w RecordVersion) bool {
	if v.Generation != w.Generation {
		return v.Generation > w.Generation
	}
	return v.Version > w.Version
}
