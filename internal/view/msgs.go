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
// one backup only has Back and no Backs.
type View struct {
	Epoch   uint64   `msg:"e" json:"epoch"`
	Members []Member `msg:"m" json:"members"`
	Prime   string   `msg:"p" json:"primary"`
	Back    string   `msg:"b" json:"backup"`  // the first backup
	Backs   []string `msg:"k" json:"backups"` // all backups
	Seats   int      `msg:"s" json:"seats"`   // the most members that were seen alive at once, less those dropped
}

// Ballot orders the tries at deciding one epoch.
type Ballot struct {
	N   uint64 `msg:"n"`
	Who string `msg:"w"`
}

// Book is what a voter keeps on disk. Vows and accepted views belong to epoch View.Epoch+1.
type Book struct {
	Id   string `msg:"i"`
	View View   `msg:"v"`
	Vow  Ballot `msg:"b"`
	Acc  Ballot `msg:"a"`
	Next View   `msg:"n"`
}

// Prep asks for a vow on the epoch after Cur.
type Prep struct {
	Cur    View   `msg:"c"`
	Ballot Ballot `msg:"b"`
}

// Vow answers a Prep: yes, or why not.
type Vow struct {
	Ok     bool   `msg:"o"`
	Leased bool   `msg:"l"` // the primary's lease has not run out here
	Seen   Ballot `msg:"s"`
	Acc    Ballot `msg:"a"`
	Next   View   `msg:"n"`
	View   View   `msg:"v"` // what is decided here; newer than Cur means Cur is old
	Id     string `msg:"i"`
}

// Pick asks a voter to accept a view.
type Pick struct {
	Cur    View   `msg:"c"`
	Ballot Ballot `msg:"b"`
	Next   View   `msg:"n"`
}

// Learn tells a decided view.
type Learn struct {
	View View `msg:"v"`
}

// Renew asks a voter to lease the primacy of a view to its primary. Run is one run of the primary's
// process, Turn grows with each round of requests.
type Renew struct {
	View View   `msg:"v"`
	Run  uint64 `msg:"r"`
	Turn uint64 `msg:"t"`
}

// Release gives the lease back: the primary of the epoch acts on no grant of this or an earlier turn.
type Release struct {
	Epoch uint64 `msg:"e"`
	Run   uint64 `msg:"r"`
	Turn  uint64 `msg:"t"`
}

// Grant answers Renew.
type Grant struct {
	Ok   bool   `msg:"o"`
	Vow  bool   `msg:"p"` // refused since a vow for the next epoch stands here
	View View   `msg:"v"`
	Id   string `msg:"i"`
}

// Ask asks a process what it knows of the core.
type Ask struct{}

// Told says which view a process knows, and who it is. Blank voters have no view.
type Told struct {
	Id   string `msg:"i"`
	Addr string `msg:"a"`
	Zone string `msg:"h"`
	View View   `msg:"v"`
}
