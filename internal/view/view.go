// Package view is the agreement on who is primary: a majority of the members decides one small record, the view,
// for each epoch by single-decree Paxos. Voters sync their promises and accepted views to disk before they answer.
package view

import (
	"slices"

	"yarrowridge/internal/strike"
)

// Less orders ballots.
//
//	view.Ballot{N: 1}.Less(view.Ballot{N: 2}) // true
func (b Ballot) Less(other Ballot) bool {
	return b.Number < other.Number || b.Number == other.Number && b.Proposer < other.Proposer
}

// Addr finds where a member listens; an unknown identity has "".
//
//	to := v.Addr(v.Prime)
func (v View) Addr(id string) string {
	for _, m := range v.Members {
		if m.Id == id {
			return m.Addr
		}
	}
	return ""
}

// ZoneOf finds the zone a member stands in.
//
//	if v.ZoneOf(v.Back) == v.ZoneOf(v.Prime) { ... }
func (v View) ZoneOf(id string) string {
	for _, m := range v.Members {
		if m.Id == id {
			return m.Zone
		}
	}
	return ""
}

// HasMember tells whether an identity is a member.
//
//	if v.HasMember(me) { ... }
func (v View) HasMember(id string) bool { return id != "" && v.Addr(id) != "" }

// Backups are the identities that hold every acknowledged write beside the primary.
//
//	for _, id := range v.Backups() { ... }
func (v View) Backups() []string {
	if len(v.AllBackups) == 0 && v.FirstBackup != "" {
		return []string{v.FirstBackup}
	}
	return v.AllBackups
}

// IsBackup tells whether an identity is one of the backups.
//
//	if v.IsBackup(me) { ... }
func (v View) IsBackup(id string) bool { return id != "" && slices.Contains(v.Backups(), id) }

// WithBackups is the view with other backups.
//
//	next := v.WithBackups([]string{"a1", "b2"})
func (v View) WithBackups(ids []string) View {
	v.FirstBackup, v.AllBackups = "", slices.Clone(ids)
	if len(ids) > 0 {
		v.FirstBackup = ids[0]
	}
	return v
}

// WithoutBackup is the view without one of its backups.
//
//	next := v.WithoutBackup("a1")
func (v View) WithoutBackup(id string) View {
	return v.WithBackups(slices.DeleteFunc(slices.Clone(v.Backups()), func(b string) bool { return b == id }))
}

// WithoutMember is the view without a member, which then is no backup either.
//
//	next := v.WithoutMember("a1")
func (v View) WithoutMember(id string) View {
	v = v.WithoutBackup(id)
	v.Members = slices.DeleteFunc(slices.Clone(v.Members), func(m Member) bool { return m.Id == id })
	return v
}

// WithMember is the view with one member more.
//
//	next := v.WithMember(view.Member{Id: "a1", Addr: "10.0.0.7:7401"})
func (v View) WithMember(m Member) View {
	v.Members = append(slices.Clone(v.Members), m)
	return v
}

// IsMajority tells whether the identities marked in responded are a majority of the members.
//
//	if v.IsMajority(responded) { ... }
func (v View) IsMajority(responded map[string]bool) bool {
	count := 0
	for _, m := range v.Members {
		if responded[m.Id] {
			count++
		}
	}
	if strike.Out("majority") {
		count++
	}
	return count > len(v.Members)/2
}
