package main

import (
	"errors"
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["silence"] = playSilence }

// Lengths of the parts of the silence case.
const (
	notesEvents   = 85                      // of the judged stream, which so lasts about nine seconds
	fillerEvents  = 200                     // of the streams that fill the runners
	beforeStop    = 5 * time.Second         // from the start of the judged stream to the SIGTERM
	beforeSilence = 500 * time.Millisecond  // from the SIGTERM to the silence
	silenceTime   = 1500 * time.Millisecond // shorter than the two seconds after which clients give a stream up
	notesDeadline = 30 * time.Second
)

// playSilence judges LOST around the planned stop of a router. Two runners serve parts-llm, and all places of one are taken.
// A stream runs at the other one when its router gets SIGTERM. The runner then sends nothing for a while, goes on and ends
// its answer well inside the first half of the grace. The client must get the complete answer.
func playSilence(f *fleet, trouble bool) error {
	if err := f.start(); err != nil {
		return err
	}
	if err := f.configure(); err != nil {
		return err
	}
	for range 2 {
		if _, err := f.startRunner(modelService, 6, 4, 0); err != nil {
			return err
		}
	}
	if err := f.waitReady(); err != nil {
		return err
	}
	time.Sleep(contactTime)
	stopped, other := f.routers[0], f.routers[1]
	judged := try{id: newID(), path: streamPath, deadline: notesDeadline, events: notesEvents}
	answers := make(chan answer, 1)
	started := time.Now()
	go func() { answers <- f.send(stopped, judged) }()
	serving, full, err := f.findServing(judged.id)
	if err != nil {
		return err
	}
	var fillers sync.WaitGroup
	defer fillers.Wait()
	for deadline := time.Now().Add(4 * time.Second); !full.full(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(deadline) {
			return errors.New("the other runner did not fill")
		}
		fillers.Go(func() {
			f.send(other, try{id: newID(), path: streamPath, deadline: notesDeadline, events: fillerEvents})
		})
	}
	f.record.add("harness", "all places of %s are taken", full.id)
	time.Sleep(time.Until(started.Add(beforeStop)))
	stopped.signal(syscall.SIGTERM)
	terminated := time.Now()
	time.Sleep(beforeSilence)
	if trouble {
		serving.silence(silenceTime)
	}
	result := <-answers
	ended := time.Since(terminated)
	run, _ := serving.find(judged.id)
	seen := strings.Count(result.body, "id: ")
	f.record.add("harness", "the judged stream: status %d, %d of %d events, whole %v, ended %v after SIGTERM; its runner had sent %d", result.status, seen, notesEvents,
		result.whole, ended.Round(time.Millisecond), run.events)
	for _, r := range f.runners {
		r.end() // ends the streams that fill the runners
	}
	switch {
	case result.whole && result.status == 200 && seen == notesEvents:
		return nil
	case ended > graceTime/2 || result.took > notesDeadline-time.Second:
		return errors.New("the stream ended too late to be judged")
	}
	return fmt.Errorf("LOST: %w: the answer to %s ended incomplete %v after SIGTERM, %d events in, though its runner had not broken off", errBroken, judged.id,
		ended.Round(time.Millisecond), seen)
}

// findServing waits until one of the two runners runs a try, and returns that one and the other.
func (f *fleet) findServing(id string) (serving, other *runner, err error) {
	for deadline := time.Now().Add(2 * time.Second); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		for i, r := range f.runners {
			if _, found := r.find(id); found {
				return r, f.runners[1-i], nil
			}
		}
	}
	return nil, nil, errors.New("no runner got the stream")
}
