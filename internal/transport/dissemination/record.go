package dissemination

// ConfigKey is the key of the fleet configuration's record, which never expires.
const ConfigKey = "layout"

// RunnerKeyPrefix is the key prefix of registered runners' records. The runner's ID follows it.
const RunnerKeyPrefix = "runners/"

// ConfigRecord returns the record of one version of the encoded fleet configuration.
func ConfigRecord(version uint64, encoded []byte) Record {
	return Record{Key: ConfigKey, Version: version, Body: encoded}
}

// newerThan reports whether r is newer than other, which has the same key. If two writers assigned the same version, the
// record with the greater body counts as newer, so that all replicas that receive both store the same one.
func (r *Record) newerThan(other *Record) bool {
	if r.Generation == other.Generation && r.Version == other.Version {
		return string(r.Body) > string(other.Body)
	}
	return r.recordVersion().newerThan(other.recordVersion())
}

// recordVersion returns the record's key and version.
func (r *Record) recordVersion() RecordVersion { return RecordVersion{r.Key, r.Generation, r.Version} }

// newerThan reports whether v is newer than w, which has the same key. It compares generations first, then versions.
func (v RecordVersion) newerThan(w RecordVersion) bool {
	if v.Generation != w.Generation {
		return v.Generation > w.Generation
	}
	return v.Version > w.Version
}
