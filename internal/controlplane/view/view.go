// Package view defines the value that the core's members agree on for each epoch: the members, the primary and its backups.
// Package paxos chooses the views.
package view

import (
	"slices"

	"yarrowridge/internal/lib/faultinjection"
)

//go:generate go tool msgp -tests=false -io=false

// Maximum lengths of arrays and maps that the decoder accepts from the wire.
//msgp:limit arrays:10000000 maps:200000

// Member is one core process: a random identity stored on its disk, the address where it listens, and its zone.
type Member struct {
	ID   string `msg:"i" json:"id"`
	Addr string `msg:"a" json:"addr"`
	Zone string `msg:"h" json:"hall"`
}

// View is the configuration that the members choose for an epoch: the members, the primary and its backups. It is a value
// type: methods return modified copies.
//
// Use Backups and WithBackups to read and set the backups. A record stored by an older build, which supported a single
// backup, has FirstBackup but no AllBackups.
type View struct {
	Epoch       uint64   `msg:"e" json:"epoch"`
	Members     []Member `msg:"m" json:"members"`
	Primary     string   `msg:"p" json:"primary"`
	FirstBackup string   `msg:"b" json:"backup"`
	AllBackups  []string `msg:"k" json:"backups"`
	TargetSize  int      `msg:"s" json:"seats"` // the largest number of members that were alive at the same time
}

// Addr returns the address where a member listens, or "" for an unknown identity.
func (v View) Addr(id string) string {
	for _, m := range v.Members {
		if m.ID == id {
			return m.Addr
		}
	}
	return ""
}

// ZoneOf returns the zone of a member, or "" for an unknown identity.
func (v View) ZoneOf(id string) string {
	for _, m := range v.Members {
		if m.ID == id {
			return m.Zone
		}
	}
	return ""
}

// HasMember reports whether id is the identity of a member.
func (v View) HasMember(id string) bool { return id != "" && v.Addr(id) != "" }

// Backups returns the identities of the members that, like the primary, store every acknowledged write.
func (v View) Backups() []string {
	if len(v.AllBackups) == 0 && v.FirstBackup != "" {
		return []string{v.FirstBackup}
	}
	return v.AllBackups
}

// IsBackup reports whether id is the identity of a backup.
func (v View) IsBackup(id string) bool { return id != "" && slices.Contains(v.Backups(), id) }

// WithBackups returns the view with its backups replaced.
func (v View) WithBackups(ids []string) View {
	v.FirstBackup, v.AllBackups = "", slices.Clone(ids)
	if len(ids) > 0 {
		v.FirstBackup = ids[0]
	}
	return v
}

// WithoutBackup returns the view without the given backup.
func (v View) WithoutBackup(id string) View {
	return v.WithBackups(slices.DeleteFunc(slices.Clone(v.Backups()), func(b string) bool { return b == id }))
}

// WithoutMember returns the view without the given member, which is removed from the backups too.
func (v View) WithoutMember(id string) View {
	v = v.WithoutBackup(id)
	v.Members = slices.DeleteFunc(slices.Clone(v.Members), func(m Member) bool { return m.ID == id })
	return v
}

// WithMember returns the view with an additional member.
func (v View) WithMember(m Member) View {
	v.Members = append(slices.Clone(v.Members), m)
	return v
}

// IsMajority reports whether the identities that are true in responded include a majority of the members.
func (v View) IsMajority(responded map[string]bool) bool {
	count := 0
	for _, m := range v.Members {
		if responded[m.ID] {
			count++
		}
	}
	if faultinjection.Disabled("majority") {
		count++
	}
	return count > len(v.Members)/2
}

// StatusRequest asks a process for its identity and the newest view that it knows.
type StatusRequest struct{}

// StatusResponse contains the identity of a process and the newest view that it knows. If its disk is blank, View is zero.
type StatusResponse struct {
	ID   string `msg:"i"`
	Addr string `msg:"a"`
	Zone string `msg:"h"`
	View View   `msg:"v"`
	Run  uint64 `msg:"r,omitempty"` // random ID of this run of the process; 0 from older versions, which do not send it
}

// LearnRequest notifies a process of a chosen view.
type LearnRequest struct {
	View View `msg:"v"`
}
