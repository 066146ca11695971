package modelcheck

import (
	"fmt"
	"slices"
	"time"
)

// selectTarget returns the process that an event affects, or nil if there is none now.
func (f *fleet) selectTarget(event Event) *process {
	v := f.newestView()
	switch event.Target {
	case "primary":
		return f.processByID(v.Primary)
	case "backup":
		if backups := v.Backups(); len(backups) > 0 {
			return f.processByID(backups[f.randomBelow(len(backups))])
		}
		return nil
	}
	return f.processes[f.randomBelow(len(f.processes))]
}

// duration is how long a fault lasts.
func (e Event) duration() time.Duration { return time.Duration(e.DurationMs) * time.Millisecond }

func killProcess(f *fleet, event Event) {
	if p := f.selectTarget(event); p != nil {
		f.stop(p)
		time.Sleep(event.duration())
		f.repair(p)
	}
}

func killAll(f *fleet, event Event) {
	all := slices.Clone(f.processes)
	for _, p := range all {
		f.stop(p)
	}
	time.Sleep(event.duration() / 4)
	for _, p := range all {
		f.repair(p)
	}
}

func losePower(f *fleet, event Event) {
	all := slices.Clone(f.processes)
	for _, p := range all {
		f.stop(p)
		p.disk.LosePower(func() bool { return f.randomBelow(2) == 0 })
	}
	time.Sleep(event.duration() / 4)
	for _, p := range all {
		f.repair(p)
	}
}

// otherAddrs returns the addresses of all cores but one, and optionally those of all their clients.
func (f *fleet) otherAddrs(p *process, includeClients bool) []string {
	var addrs []string
	for _, other := range f.processes {
		if other != p {
			addrs = append(addrs, other.addr)
		}
	}
	if !includeClients {
		return addrs
	}
	for i := range operatorCount {
		addrs = append(addrs, operatorHost(i))
	}
	for i := range quotaHolderCount {
		addrs = append(addrs, quotaHolderAddr(i))
	}
	for i := range quotaRouterCount {
		addrs = append(addrs, (&quotaRouter{number: i}).addr())
	}
	return addrs
}

// operatorHost is the address of an operator's first client. A partition affects all addresses of its machine.
func operatorHost(number int) string { return operatorAddr(number, 0) }

// operatorAddr is the address of one of an operator's clients.
func operatorAddr(number, client int) string { return fmt.Sprintf("10.0.9.%d:%d", number+1, client+1) }

func partitionProcess(f *fleet, event Event) {
	if p := f.selectTarget(event); p != nil {
		f.world.Split([]string{p.addr}, f.otherAddrs(p, event.Count%3 == 0))
		time.Sleep(event.duration())
		f.world.Heal()
	}
}

// partitionWithReader partitions a machine, together with an operator that keeps reading there, from all others.
func partitionWithReader(f *fleet, event Event) {
	if p := f.selectTarget(event); p != nil {
		f.isolate(p)
		time.Sleep(event.duration())
		f.world.Heal()
	}
}

// partitionFromAllButBackup partitions the primary and an operator from all others except the first backup, which reaches
// both sides.
func partitionFromAllButBackup(f *fleet, event Event) {
	v := f.newestView()
	primary := f.processByID(v.Primary)
	if primary == nil {
		return
	}
	f.world.Split([]string{primary.addr, operatorHost(0)}, slices.DeleteFunc(f.otherAddrs(primary, true), func(addr string) bool {
		return addr == operatorHost(0) || addr == v.Addr(v.FirstBackup)
	}))
	time.Sleep(event.duration())
	f.world.Heal()
}

// isolate partitions a machine and the first operator from all others.
func (f *fleet) isolate(p *process) {
	island := []string{p.addr, operatorHost(0)}
	f.world.Split(island, slices.DeleteFunc(f.otherAddrs(p, true), func(addr string) bool { return addr == operatorHost(0) }))
}

// restartOthersDuringPartition partitions a machine and an operator from all others, and restarts all other processes
// meanwhile.
func restartOthersDuringPartition(f *fleet, event Event) {
	p := f.selectTarget(event)
	if p == nil {
		return
	}
	f.isolate(p)
	for _, other := range slices.Clone(f.processes) {
		if other != p {
			f.stop(other)
			f.repair(other)
		}
	}
	time.Sleep(event.duration())
	f.world.Heal()
}

func partitionOneWay(f *fleet, event Event) {
	p := f.selectTarget(event)
	if p == nil {
		return
	}
	for _, other := range f.otherAddrs(p, false) {
		if event.Count%2 == 0 {
			f.world.Cut(p.addr, other)
		} else {
			f.world.Cut(other, p.addr)
		}
	}
	time.Sleep(event.duration())
	f.world.Heal()
}

func partitionHalves(f *fleet, event Event) {
	var sides [2][]string
	for i, p := range f.processes {
		side := (i + event.Count) * 2 / len(f.processes) % 2
		sides[side] = append(sides[side], p.addr)
	}
	f.world.Split(sides[0], sides[1])
	time.Sleep(event.duration())
	f.world.Heal()
}

// withDiskLoss calls lose, which loses disks, if the fleet has recovered from every earlier loss of disks.
func (f *fleet) withDiskLoss(lose func()) {
	if !f.tryBeginDiskLoss(f.isHealthy()) {
		return
	}
	lose()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.losingDisks = false
}

// tryBeginDiskLoss records that disks are being lost, and reports whether they may be: of two concurrent events only one
// may lose disks.
func (f *fleet) tryBeginDiskLoss(isHealthy bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.losingDisks || f.disksLost && !isHealthy {
		return false
	}
	f.losingDisks, f.disksLost = true, true
	return true
}

// wipeDisk loses a machine's disk; its process restarts at the same address with an empty one.
func wipeDisk(f *fleet, event Event) {
	f.withDiskLoss(func() {
		if p := f.selectTarget(event); p != nil {
			f.stop(p)
			p.loseDisk()
			time.Sleep(event.duration() / 2)
			f.repair(p)
		}
	})
}

// wipeAndLosePower loses as many disks as the fleet tolerates, the primary's first or those of backups only, while all
// machines lose power.
func wipeAndLosePower(f *fleet, event Event) {
	f.withDiskLoss(func() { f.loseReplicaDisksAndPower(event) })
}

// loseReplicaDisksAndPower implements wipeAndLosePower.
func (f *fleet) loseReplicaDisksAndPower(event Event) {
	v := f.newestView()
	lost := []*process{f.processByID(v.Primary)}
	for _, id := range v.Backups() {
		lost = append(lost, f.processByID(id))
	}
	if event.Count%2 == 0 {
		lost = lost[1:]
	}
	all := slices.Clone(f.processes)
	for _, p := range all {
		f.stop(p)
		p.disk.LosePower(func() bool { return f.randomBelow(2) == 0 })
	}
	for _, p := range lost[:min(f.losses, len(lost))] {
		if p != nil {
			p.loseDisk()
		}
	}
	time.Sleep(event.duration() / 4)
	for _, p := range all {
		f.repair(p)
	}
}

// replaceMachine removes a machine for good and adds an empty one at another address.
func replaceMachine(f *fleet, event Event) {
	f.withDiskLoss(func() {
		if p := f.selectTarget(event); p != nil {
			next := f.newMachine(false)
			f.retire(p, next)
			time.Sleep(event.duration() / 4)
			f.repair(next)
		}
	})
}

// replaceGracefully adds an empty machine, then has an old one step down and removes it for good.
func replaceGracefully(f *fleet, event Event) {
	f.withDiskLoss(func() {
		p := f.selectTarget(event)
		if p == nil {
			return
		}
		next := f.newMachine(false)
		f.repair(next)
		time.Sleep(event.duration() / 4)
		if p.running {
			p.server.StepDown()
		}
		f.retire(p, next)
	})
}

// retire removes a machine for good; next takes its place among the current machines.
func (f *fleet) retire(p, next *process) {
	p.retired = true
	f.stop(p)
	if i := slices.Index(f.processes, p); i >= 0 {
		f.processes = slices.Clone(f.processes)
		f.processes[i] = next
	}
}

func stallDisk(f *fleet, event Event) {
	if p := f.selectTarget(event); p != nil {
		p.disk.StallWrites()
		time.Sleep(event.duration())
		p.disk.ResumeWrites()
	}
}

func fillDisk(f *fleet, event Event) {
	if p := f.selectTarget(event); p != nil {
		p.disk.SetFull(true)
		time.Sleep(event.duration())
		p.disk.SetFull(false)
	}
}

func slowDisk(f *fleet, event Event) {
	if p := f.selectTarget(event); p != nil {
		p.disk.SetWriteDelay(time.Duration(event.Count*20) * time.Millisecond)
		time.Sleep(event.duration())
		p.disk.SetWriteDelay(0)
	}
}

// crashAtWrite crashes a process at one of its next writes to disk.
func crashAtWrite(f *fleet, event Event) {
	p := f.selectTarget(event)
	if p == nil {
		return
	}
	p.mu.Lock()
	p.writesUntilCrash, p.crashAfterWrite = event.Count, event.DurationMs%2 == 0
	p.mu.Unlock()
	time.Sleep(event.duration())
	f.repair(p)
}

func delayMessages(f *fleet, event Event) {
	f.injectMessageFaults(event, messageFaults{onlyCall: event.OnlyCall, delayedPercent: event.Count * 3})
}
func duplicateMessages(f *fleet, event Event) {
	f.injectMessageFaults(event, messageFaults{onlyCall: event.OnlyCall, duplicatedPercent: event.Count * 5})
}
func delayAnswers(f *fleet, event Event) {
	f.injectMessageFaults(event, messageFaults{onlyCall: event.OnlyCall, delayedAnswersPercent: event.Count * 3})
}

func delayReplicatedWrites(f *fleet, event Event) {
	f.injectMessageFaults(event, messageFaults{onlyCall: "core.hold", delayedPercent: 50})
}
func delaySnapshots(f *fleet, event Event) {
	f.injectMessageFaults(event, messageFaults{onlyCall: "core.copy", delayedPercent: 50})
}

// delayLeaseGrants delays the answers to lease renewals by less than the caller's timeout.
func delayLeaseGrants(f *fleet, event Event) {
	f.setMessageFaults(messageFaults{onlyCall: "view.renew", delayedAnswersPercent: 80, maxDelay: leaseTerm/2 - 20*time.Millisecond})
	time.Sleep(event.duration())
	f.setMessageFaults(messageFaults{})
}

// injectMessageFaults sets message faults for the duration of an event.
func (f *fleet) injectMessageFaults(event Event, faults messageFaults) {
	faults.maxDelay = event.duration()
	f.setMessageFaults(faults)
	time.Sleep(event.duration() + time.Second)
	f.setMessageFaults(messageFaults{})
}

// freezeProcess freezes a process between two of its externally visible steps.
func freezeProcess(f *fleet, event Event) {
	if p := f.selectTarget(event); p != nil && p.running {
		p.freeze()
		time.Sleep(event.duration())
		p.thaw()
	}
}
