package modelcheck

import (
	"fmt"
	"slices"
	"time"
)

// pick is the machine that an event concerns, or nil.
func (f *fleet) pick(event Event) *process {
	v := f.current()
	switch event.Who {
	case "primary":
		return f.holder(v.Primary)
	case "backup":
		if backups := v.Backups(); len(backups) > 0 {
			return f.holder(backups[f.chance(len(backups))])
		}
		return nil
	}
	return f.processes[f.chance(len(f.processes))]
}

// span is how long a fault lasts.
func (e Event) span() time.Duration { return time.Duration(e.ForMs) * time.Millisecond }

func killProcess(f *fleet, event Event) {
	if p := f.pick(event); p != nil {
		f.stop(p)
		time.Sleep(event.span())
		f.restore(p)
	}
}

func killAll(f *fleet, event Event) {
	all := slices.Clone(f.processes)
	for _, p := range all {
		f.stop(p)
	}
	time.Sleep(event.span() / 4)
	for _, p := range all {
		f.restore(p)
	}
}

func losePower(f *fleet, event Event) {
	all := slices.Clone(f.processes)
	for _, p := range all {
		f.stop(p)
		p.disk.LosePower(func() bool { return f.chance(2) == 0 })
	}
	time.Sleep(event.span() / 4)
	for _, p := range all {
		f.restore(p)
	}
}

// others are the addresses of all cores but one, and of all their clients where these are asked for too.
func (f *fleet) others(p *process, clients bool) []string {
	var others []string
	for _, other := range f.processes {
		if other != p {
			others = append(others, other.addr)
		}
	}
	if !clients {
		return others
	}
	for i := range operatorCount {
		others = append(others, operatorHost(i))
	}
	for i := range quotaHolders {
		others = append(others, holderAddr(i))
	}
	for i := range quotaRouterCount {
		others = append(others, (&quotaRouter{number: i}).addr())
	}
	return others
}

// operatorHost is the address of an operator's machine.
func operatorHost(number int) string { return operatorAddr(number, 0) }

// operatorAddr is the address of one of an operator's clients.
func operatorAddr(number, client int) string { return fmt.Sprintf("10.0.9.%d:%d", number+1, client+1) }

func cutProcess(f *fleet, event Event) {
	if p := f.pick(event); p != nil {
		f.world.Split([]string{p.addr}, f.others(p, event.Count%3 == 0))
		time.Sleep(event.span())
		f.world.Heal()
	}
}

// cutWithReader cuts a machine off together with an operator, who goes on reading there.
func cutWithReader(f *fleet, event Event) {
	if p := f.pick(event); p != nil {
		f.isolate(p)
		time.Sleep(event.span())
		f.world.Heal()
	}
}

// cutFromAllButBackup cuts the primary and an operator off from all others but the first backup, which reaches both sides.
func cutFromAllButBackup(f *fleet, event Event) {
	v := f.current()
	primary := f.holder(v.Primary)
	if primary == nil {
		return
	}
	f.world.Split([]string{primary.addr, operatorHost(0)}, slices.DeleteFunc(f.others(primary, true), func(addr string) bool {
		return addr == operatorHost(0) || addr == v.Addr(v.FirstBackup)
	}))
	time.Sleep(event.span())
	f.world.Heal()
}

// isolate cuts a machine and the first operator off from all others.
func (f *fleet) isolate(p *process) {
	island := []string{p.addr, operatorHost(0)}
	f.world.Split(island, slices.DeleteFunc(f.others(p, true), func(addr string) bool { return addr == operatorHost(0) }))
}

// restartBehindACut cuts a machine off together with an operator; at the same time all others start again.
func restartBehindACut(f *fleet, event Event) {
	p := f.pick(event)
	if p == nil {
		return
	}
	f.isolate(p)
	for _, other := range slices.Clone(f.processes) {
		if other != p {
			f.stop(other)
			f.restore(other)
		}
	}
	time.Sleep(event.span())
	f.world.Heal()
}

func cutOneWay(f *fleet, event Event) {
	p := f.pick(event)
	if p == nil {
		return
	}
	for _, other := range f.others(p, false) {
		if event.Count%2 == 0 {
			f.world.Cut(p.addr, other)
		} else {
			f.world.Cut(other, p.addr)
		}
	}
	time.Sleep(event.span())
	f.world.Heal()
}

func cutHalves(f *fleet, event Event) {
	var sides [2][]string
	for i, p := range f.processes {
		side := (i + event.Count) * 2 / len(f.processes) % 2
		sides[side] = append(sides[side], p.addr)
	}
	f.world.Split(sides[0], sides[1])
	time.Sleep(event.span())
	f.world.Heal()
}

// loseDisks has disks be lost where all that were lost before are made up for.
func (f *fleet) loseDisks(lose func()) {
	if !f.beginLoss(f.isWhole()) {
		return
	}
	lose()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.losing = false
}

// beginLoss notes that disks are being lost, and reports whether they may be: of two events at one moment one loses.
func (f *fleet) beginLoss(isWhole bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.losing || f.wiped && !isWhole {
		return false
	}
	f.losing, f.wiped = true, true
	return true
}

// wipeDisk loses a machine's disk; it comes back at its address.
func wipeDisk(f *fleet, event Event) {
	f.loseDisks(func() {
		if p := f.pick(event); p != nil {
			f.stop(p)
			p.loseDisk()
			time.Sleep(event.span() / 2)
			f.restore(p)
		}
	})
}

// wipeAndLosePower loses as many disks as may be lost, the primary's first, and the power of all others.
func wipeAndLosePower(f *fleet, event Event) {
	f.loseDisks(func() { f.loseDisksOfHolders(event) })
}

// loseDisksOfHolders is what wipeAndLosePower does.
func (f *fleet) loseDisksOfHolders(event Event) {
	v := f.current()
	lost := []*process{f.holder(v.Primary)}
	for _, id := range v.Backups() {
		lost = append(lost, f.holder(id))
	}
	if event.Count%2 == 0 {
		lost = lost[1:]
	}
	all := slices.Clone(f.processes)
	for _, p := range all {
		f.stop(p)
		p.disk.LosePower(func() bool { return f.chance(2) == 0 })
	}
	for _, p := range lost[:min(f.losses, len(lost))] {
		if p != nil {
			p.loseDisk()
		}
	}
	time.Sleep(event.span() / 4)
	for _, p := range all {
		f.restore(p)
	}
}

// replaceMachine takes a machine out for good; an empty one comes at another address.
func replaceMachine(f *fleet, event Event) {
	f.loseDisks(func() {
		if p := f.pick(event); p != nil {
			next := f.newMachine(false)
			f.retire(p, next)
			time.Sleep(event.span() / 4)
			f.restore(next)
		}
	})
}

// replaceAsPlanned adds an empty machine, then stops an old one in order, for good.
func replaceAsPlanned(f *fleet, event Event) {
	f.loseDisks(func() {
		p := f.pick(event)
		if p == nil {
			return
		}
		next := f.newMachine(false)
		f.restore(next)
		time.Sleep(event.span() / 4)
		if p.running {
			p.server.StepDown()
		}
		f.retire(p, next)
	})
}

// retire takes a machine out for good; another one counts in its place.
func (f *fleet) retire(p, next *process) {
	p.retired = true
	f.stop(p)
	if i := slices.Index(f.processes, p); i >= 0 {
		f.processes = slices.Clone(f.processes)
		f.processes[i] = next
	}
}

func stallDisk(f *fleet, event Event) {
	if p := f.pick(event); p != nil {
		p.disk.StallWrites()
		time.Sleep(event.span())
		p.disk.ResumeWrites()
	}
}

func fillDisk(f *fleet, event Event) {
	if p := f.pick(event); p != nil {
		p.disk.SetFull(true)
		time.Sleep(event.span())
		p.disk.SetFull(false)
	}
}

func slowDisk(f *fleet, event Event) {
	if p := f.pick(event); p != nil {
		p.disk.SetWriteDelay(time.Duration(event.Count*20) * time.Millisecond)
		time.Sleep(event.span())
		p.disk.SetWriteDelay(0)
	}
}

// dieAtWrite has a process die at one of its next writes.
func dieAtWrite(f *fleet, event Event) {
	p := f.pick(event)
	if p == nil {
		return
	}
	p.mu.Lock()
	p.crashAt, p.afterSync = event.Count, event.ForMs%2 == 0
	p.mu.Unlock()
	time.Sleep(event.span())
	f.restore(p)
}

func lateMessages(f *fleet, event Event) {
	f.spoilMessages(event, messageFaults{only: event.Only, held: event.Count * 3})
}
func doubledMessages(f *fleet, event Event) {
	f.spoilMessages(event, messageFaults{only: event.Only, doubled: event.Count * 5})
}
func lateAnswers(f *fleet, event Event) {
	f.spoilMessages(event, messageFaults{only: event.Only, answersHeld: event.Count * 3})
}

func lateWrites(f *fleet, event Event) {
	f.spoilMessages(event, messageFaults{only: "core.hold", held: 50})
}
func lateCopies(f *fleet, event Event) {
	f.spoilMessages(event, messageFaults{only: "core.copy", held: 50})
}

// lateGrants holds back answers to renewals of the lease, by less than their caller waits.
func lateGrants(f *fleet, event Event) {
	f.setMessages(messageFaults{only: "view.renew", answersHeld: 80, most: leaseTerm/2 - 20*time.Millisecond})
	time.Sleep(event.span())
	f.setMessages(messageFaults{})
}

// spoilMessages sets message faults for a while.
func (f *fleet) spoilMessages(event Event, faults messageFaults) {
	faults.most = event.span()
	f.setMessages(faults)
	time.Sleep(event.span() + time.Second)
	f.setMessages(messageFaults{})
}

// freezeProcess has a process stand still between two of its steps.
func freezeProcess(f *fleet, event Event) {
	if p := f.pick(event); p != nil && p.running {
		p.freeze()
		time.Sleep(event.span())
		p.thaw()
	}
}
