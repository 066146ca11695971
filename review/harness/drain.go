package main

import (
	"errors"
	"fmt"
	"time"
)

func init() { cases["drain"] = playDrain }

// Lengths of the parts of the drain case.
const (
	cutTime         = 5 * time.Second // the default length of such a cut in the list of kinds
	serveOn         = 8 * time.Second // how long the leaving runner serves on after the acknowledgement
	requestInterval = 25 * time.Millisecond
)

// playDrain judges DRAIN. Two runners serve order-desk. One says draining, is acknowledged and serves on. Then a cut takes
// both runners' path to the cores, though not to the routers. The routers must not send the leaving runner new requests.
func playDrain(f *fleet, trouble bool) error {
	if err := f.start(); err != nil {
		return err
	}
	if err := f.configure(); err != nil {
		return err
	}
	staying, err := f.startRunner(deskService, 6, 24, 30*time.Millisecond)
	if err != nil {
		return err
	}
	leaving, err := f.startRunner(deskService, 6, 24, 30*time.Millisecond)
	if err != nil {
		return err
	}
	for range 8 { // the other servers of the deployment
		if _, err := f.startRunner(modelService, 64, 8, 0); err != nil {
			return err
		}
	}
	if err := f.waitReady(); err != nil {
		return err
	}
	stop := make(chan struct{})
	defer close(stop)
	go f.sendSteadily(stop)
	time.Sleep(contactTime + 2*time.Second) // all machines are in touch
	if !leaving.drain() {
		return errors.New("draining was not acknowledged")
	}
	acknowledged := leaving.acknowledgedAt("draining")
	if trouble {
		staying.cut(cutTime)
		leaving.cut(cutTime)
	}
	time.Sleep(serveOn)
	late := leaving.arrivalsAfter(acknowledged.Add(drainTime))
	f.record.add("harness", "%s got %d requests later than %v after its acknowledgement; %s got %d then", leaving.id, len(late), drainTime, staying.id,
		len(staying.arrivalsAfter(acknowledged.Add(drainTime))))
	if len(late) > 0 {
		first, last := late[0].at.Sub(acknowledged), late[len(late)-1].at.Sub(acknowledged)
		return fmt.Errorf("DRAIN: %w: %d requests reached the leaving runner %v to %v after its acknowledgement", errBroken, len(late), first.Round(time.Millisecond), last.Round(time.Millisecond))
	}
	return nil
}

// sendSteadily sends safe requests to all routers in turn until stop is closed.
func (f *fleet) sendSteadily(stop <-chan struct{}) {
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(requestInterval):
		}
		go f.send(f.routers[i%len(f.routers)], try{id: newID(), path: safePath, deadline: 2500 * time.Millisecond})
	}
}
