package main

import (
	"fmt"
	"time"
)

func init() { cases["firststart"] = firstStart }

const (
	startSpread = 250 * time.Millisecond // all machines start within 0.3 s of each other
	killAfter   = 200 * time.Millisecond // after the start of the first machine
	restartWait = 500 * time.Millisecond // a process that was killed is started again after a short delay
	ackTimeout  = 4 * time.Second
	patience    = 40 * time.Second // for which the operator sends the first configuration
)

// firstStart starts a whole system for the first time. The core with the lowest address is killed once before the other machines
// have started, and is started again with the settings of that moment, in which bootstrap is false.
func firstStart(rec *record, disrupt bool) (verdict, error) {
	f, err := newFleet(rec, 5, 4)
	if err != nil {
		return verdict{}, err
	}
	defer f.stop()
	first := f.cores[0]
	if err := first.start(true); err != nil {
		return verdict{}, err
	}
	rec.add("%s started, bootstrap=true", first.name)
	time.Sleep(killAfter)
	if disrupt {
		first.kill()
		rec.add("%s killed", first.name)
	}
	time.Sleep(startSpread - killAfter)
	for _, m := range f.machines()[1:] {
		if err := m.start(true); err != nil {
			return verdict{}, err
		}
	}
	rec.add("all other machines started, bootstrap=true")
	if disrupt {
		time.Sleep(restartWait)
		if err := first.start(false); err != nil {
			return verdict{}, err
		}
		rec.add("%s started again, bootstrap=false", first.name)
	}
	settled := time.Now().Add(contactTime)
	begun := time.Now()
	acknowledged := f.operate("/Config.Replace", 0, baseConfig(5), patience)
	took := time.Since(begun)
	late := time.Now().After(settled.Add(ackTimeout))
	for _, m := range f.cores {
		rec.add("%s: process ended: %v", m.name, m.hasExited())
	}
	f.sendOne()
	if acknowledged && !late {
		return verdict{text: fmt.Sprintf("the first configuration was acknowledged after %s", took.Round(time.Millisecond))}, nil
	}
	return verdict{broken: true, text: fmt.Sprintf("ACKS, FAULT: all five cores ran and reached each other, and the first configuration was not acknowledged within %s (bound: %s after the core has settled); no request is served",
		took.Round(time.Second), ackTimeout)}, nil
}

// sendOne sends one request through each router, for the record.
func (f *fleet) sendOne() {
	for _, m := range f.routers {
		c, err := connect(m)
		if err != nil {
			f.rec.add("client at %s: %v", m.name, err)
			continue
		}
		f.rec.add("client at %s: %s", m.name, c.send(ackPath, 0, 2500*time.Millisecond, "hello"))
		c.close()
	}
}
