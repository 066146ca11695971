package main

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"time"
)

func init() { cases["latebeat"] = playLateBeat }

// Lengths of the parts of the late beat case.
const (
	beatDelay   = 6 * time.Second // how late the beat arrives
	goneServeOn = 10 * time.Second
)

// playLateBeat judges DRAIN. A runner deregisters and is acknowledged, and the primary core is stopped as planned. Then a beat
// arrives late that the runner had sent before. The routers must not send the runner new requests.
func playLateBeat(f *fleet, trouble bool) error {
	if err := f.start(); err != nil {
		return err
	}
	if err := f.configure(); err != nil {
		return err
	}
	if _, err := f.startRunner(deskService, 6, 24, 30*time.Millisecond); err != nil {
		return err
	}
	leaving, err := f.startRunner(deskService, 6, 24, 30*time.Millisecond)
	if err != nil {
		return err
	}
	if err := f.waitReady(); err != nil {
		return err
	}
	stop := make(chan struct{})
	defer close(stop)
	go f.sendSteadily(stop)
	time.Sleep(contactTime + 2*time.Second)
	primary, err := f.findPrimary()
	if err != nil {
		return err
	}
	late := leaving.takeBeat()
	sent := time.Now()
	if !leaving.deregister() {
		return errors.New("the deregistration was not acknowledged")
	}
	acknowledged := leaving.acknowledgedAt("gone")
	if trouble {
		primary.signal(syscall.SIGTERM)
		<-primary.ended
		if err := primary.start(false); err != nil {
			return err
		}
	}
	time.Sleep(time.Until(sent.Add(beatDelay)))
	for _, address := range f.controlAddresses() {
		status, err := post(address, "/Runners.Heartbeat/"+leaving.id, late, nil)
		f.record.add(leaving.id, "a beat of %v before arrives at %s: status %d, error %v", time.Since(sent).Round(time.Millisecond), address, status, err)
		if err == nil && status/100 == 2 {
			break
		}
	}
	time.Sleep(time.Until(acknowledged.Add(goneServeOn)))
	after := leaving.arrivalsAfter(acknowledged.Add(drainTime))
	f.record.add("harness", "%s got %d requests later than %v after its acknowledgement", leaving.id, len(after), drainTime)
	if len(after) > 0 {
		return fmt.Errorf("DRAIN: %w: %d requests reached the runner that had left, the first %v after the acknowledgement", errBroken, len(after),
			after[0].at.Sub(acknowledged).Round(time.Millisecond))
	}
	return nil
}

// takeBeat returns the body of a beat that is sent now and stays on its way.
func (r *runner) takeBeat() []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sequence++
	r.fleet.record.add(r.id, "sends beat %d, which is delayed", r.sequence)
	return r.beatBody(r.state, r.sequence)
}

// deregister says that the runner leaves, and ends its beats. It reports whether that was acknowledged.
func (r *runner) deregister() bool {
	r.mu.Lock()
	r.state = "gone"
	r.mu.Unlock()
	for _, address := range r.fleet.controlAddresses() {
		status, err := post(address, "/Runners.Deregister/"+r.id, nil, nil)
		if err == nil && status/100 == 2 {
			r.acknowledge("gone")
			return true
		}
	}
	return false
}

// findPrimary returns the core whose metrics say that it is the primary.
func (f *fleet) findPrimary() (*machine, error) {
	for _, m := range f.cores {
		text, err := get(fmt.Sprintf("http://%s:%d/metrics", m.ip, coreMetricsPort))
		if err == nil && strings.Contains(text, "yarrowridge_core_primary 1") {
			return m, nil
		}
	}
	return nil, errors.New("no core says that it is the primary")
}

// get returns the body of a page.
func get(url string) (string, error) {
	client := &http.Client{Timeout: time.Second}
	response, err := client.Get(url)
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }()
	var text strings.Builder
	if _, err := fmt.Fprint(&text, response.Status, "\n"); err != nil {
		return "", err
	}
	buffer := make([]byte, 64<<10)
	for {
		n, err := response.Body.Read(buffer)
		text.Write(buffer[:n])
		if err != nil {
			return text.String(), nil
		}
	}
}
