package view

//go:generate go tool msgp -tests=false -io=false

// A length read from the wire is believed up to this only.
//msgp:limit arrays:10000000 maps:200000

// Member is one core process: a random identity kept on its disk, and where it listens.
type Member struct {
	Id   string `msg:"i" json:"id"`
	Addr string `msg:"a" json:"addr"`
	Zone string `msg:"h" json:"hall"`
}

// View is the small record that a majority of members decides: who is primary and who are backups.
// Read the backups with Backups and set them with WithBackups: a record stored by a build that knew
// one backup only has FirstBackup and no AllBackups.
type View struct {
	Epoch       uint64   `msg:"e" json:"epoch"`
	Members     []Member `msg:"m" json:"members"`
	Primary     string   `msg:"p" json:"primary"`
	FirstBackup string   `msg:"b" json:"backup"`
	AllBackups  []string `msg:"k" json:"backups"`
	TargetSize  int      `msg:"s" json:"seats"` // the most members that were seen alive at once, less those dropped
}

// Ballot orders the proposals for one epoch.
type Ballot struct {
	Number   uint64 `msg:"n"`
	Proposer string `msg:"w"`
}

// VoterState is what a voter keeps on disk. Promises and accepted views belong to the
// epoch after the one of View.
type VoterState struct {
	Id           string `msg:"i"`
	View         View   `msg:"v"`
	Promised     Ballot `msg:"b"` // no ballot below it is accepted
	Accepted     Ballot `msg:"a"` // under which AcceptedView was accepted
	AcceptedView View   `msg:"n"`
}

// PrepareRequest asks a voter to promise that it accepts no lower ballot for the epoch after Current.
type PrepareRequest struct {
	Current View   `msg:"c"`
	Ballot  Ballot `msg:"b"`
}

// BallotResponse answers a PrepareRequest or an AcceptRequest: yes, or why not.
type BallotResponse struct {
	Ok           bool   `msg:"o"`
	Leased       bool   `msg:"l"` // the primary's lease has not run out here
	Promised     Ballot `msg:"s"`
	Accepted     Ballot `msg:"a"`
	AcceptedView View   `msg:"n"`
	View         View   `msg:"v"` // what is decided here; newer than Current means Current is old
	Id           string `msg:"i"`
}

// AcceptRequest asks a voter to accept a view for the epoch after Current.
type AcceptRequest struct {
	Current  View   `msg:"c"`
	Ballot   Ballot `msg:"b"`
	Proposed View   `msg:"n"`
}

// LearnRequest tells of a decided view.
type LearnRequest struct {
	View View `msg:"v"`
}

// RenewRequest asks a voter to lease the primacy of a view to its primary. PrimaryRun is one run of the
// primary's process, Round grows with each round of requests.
type RenewRequest struct {
	View       View   `msg:"v"`
	PrimaryRun uint64 `msg:"r"`
	Round      uint64 `msg:"t"`
}

// ReleaseRequest gives the lease back: the primary of the epoch acts on no grant of this or an earlier round.
type ReleaseRequest struct {
	Epoch      uint64 `msg:"e"`
	PrimaryRun uint64 `msg:"r"`
	Round      uint64 `msg:"t"`
}

// RenewResponse answers RenewRequest: the lease is granted, or why not.
type RenewResponse struct {
	Ok            bool   `msg:"o"`
	PromisedOther bool   `msg:"p"` // refused since a promise to another proposer for the next epoch stands here
	View          View   `msg:"v"`
	Id            string `msg:"i"`
}

// StatusRequest asks a process what it knows of the core.
type StatusRequest struct{}

// StatusResponse says which view a process knows, and who it is. Blank voters have no view.
type StatusResponse struct {
	Id   string `msg:"i"`
	Addr string `msg:"a"`
	Zone string `msg:"h"`
	View View   `msg:"v"`
}
