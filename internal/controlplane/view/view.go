// Package view holds the value that the core's members agree on for each epoch: who the members are, who is primary and
// who are its backups. Package paxos chooses the views.
package view

import (
	"slices"

	"yarrowridge/internal/lib/faultinjection"
)

//go:generate go tool msgp -tests=false -io=false

// A length read from the wire is believed up to this only.
//msgp:limit arrays:10000000 maps:200000

// Member is one core process: a random identity kept on its disk, and where it listens.
type Member struct {
	ID   string `msg:"i" json:"id"`
	Addr string `msg:"a" json:"addr"`
	Zone string `msg:"h" json:"hall"`
}

// View is what the members choose for an epoch: who they are, which of them is primary and which are its backups. It is a
// value: methods return changed copies.
// Read the backups with Backups and set them with WithBackups: a record stored by a build that knew
// one backup only has FirstBackup and no AllBackups.
type View struct {
	Epoch       uint64   `msg:"e" json:"epoch"`
	Members     []Member `msg:"m" json:"members"`
	Primary     string   `msg:"p" json:"primary"`
	FirstBackup string   `msg:"b" json:"backup"`
	AllBackups  []string `msg:"k" json:"backups"`
	TargetSize  int      `msg:"s" json:"seats"` // the most members that were alive at once, less those removed
}

// Addr is the address where a member listens; "" for an unknown identity.
func (v View) Addr(id string) string {
	for _, m := range v.Members {
		if m.ID == id {
			return m.Addr
		}
	}
	return ""
}

// ZoneOf is the zone of a member; "" for an unknown identity.
func (v View) ZoneOf(id string) string {
	for _, m := range v.Members {
		if m.ID == id {
			return m.Zone
		}
	}
	return ""
}

// HasMember reports whether an identity is a member.
func (v View) HasMember(id string) bool { return id != "" && v.Addr(id) != "" }

// Backups are the identities of the members that have every acknowledged write beside the primary.
func (v View) Backups() []string {
	if len(v.AllBackups) == 0 && v.FirstBackup != "" {
		return []string{v.FirstBackup}
	}
	return v.AllBackups
}

// IsBackup reports whether an identity is one of the backups.
func (v View) IsBackup(id string) bool { return id != "" && slices.Contains(v.Backups(), id) }

// WithBackups is the view with other backups.
func (v View) WithBackups(ids []string) View {
	v.FirstBackup, v.AllBackups = "", slices.Clone(ids)
	if len(ids) > 0 {
		v.FirstBackup = ids[0]
	}
	return v
}

// WithoutBackup is the view without one of its backups.
func (v View) WithoutBackup(id string) View {
	return v.WithBackups(slices.DeleteFunc(slices.Clone(v.Backups()), func(b string) bool { return b == id }))
}

// WithoutMember is the view without a member, which then is no backup either.
func (v View) WithoutMember(id string) View {
	v = v.WithoutBackup(id)
	v.Members = slices.DeleteFunc(slices.Clone(v.Members), func(m Member) bool { return m.ID == id })
	return v
}

// WithMember is the view with one member more.
func (v View) WithMember(m Member) View {
	v.Members = append(slices.Clone(v.Members), m)
	return v
}

// IsMajority reports whether the identities marked in responded are a majority of the members.
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

// StatusRequest asks a process what it knows of the core.
type StatusRequest struct{}

// StatusResponse says which view a process knows, and who it is. A process with a blank disk has no view.
type StatusResponse struct {
	ID   string `msg:"i"`
	Addr string `msg:"a"`
	Zone string `msg:"h"`
	View View   `msg:"v"`
	Run  uint64 `msg:"r,omitempty"` // of the process, drawn at random; 0: an older version does not say
}

// LearnRequest notifies a process of a chosen view.
type LearnRequest struct {
	View View `msg:"v"`
}
