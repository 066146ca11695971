package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

func init() { cases["resume"] = resumeWithdrawn }

const (
	applyDeadline = 2 * time.Second
	longStream    = 160 // events, of eventGap each
)

// resumeWithdrawn lets streams run on a route that may be resumed, takes streamResume away from the route, waits until that is in
// force everywhere, and then crashes one runner of six.
func resumeWithdrawn(rec *record, disrupt bool) (verdict, error) {
	f, err := newFleet(rec, 5, 4)
	if err != nil {
		return verdict{}, err
	}
	defer f.stop()
	if err := f.start(baseConfig(5), map[string]int{modelService: 6, deskService: 2}); err != nil {
		return verdict{}, err
	}
	if err := f.warmUp(10); err != nil {
		return verdict{}, err
	}
	var streams sync.WaitGroup
	attempts := make([]*attempt, 24)
	for i := range attempts {
		c, err := connect(f.routers[i%len(f.routers)])
		if err != nil {
			return verdict{}, err
		}
		streams.Go(func() {
			defer c.close()
			attempts[i] = c.send(notesPath, longStream, 30*time.Second, "hello")
		})
	}
	time.Sleep(time.Second)
	next := map[string]any{"revision": 7, "upsert": map[string]any{"routes": []any{route("notes", "/notes/", "streaming", modelService, 30000, 2, false)}}}
	if !f.operate("/Config.Update", 5, next, 4*time.Second) {
		return verdict{}, fmt.Errorf("the change was not acknowledged")
	}
	acknowledged := time.Now()
	rec.add("acknowledged: route notes has no streamResume any more")
	time.Sleep(applyDeadline + time.Second)
	if disrupt {
		crashed := f.busiest()
		rec.add("runner %s crashes", crashed.id)
		crashed.end()
	}
	streams.Wait()
	return judgeResume(f, attempts, acknowledged), nil
}

// warmUp sends some short streams and orders through each router.
func (f *fleet) warmUp(count int) error {
	for _, m := range f.routers {
		c, err := connect(m)
		if err != nil {
			return err
		}
		for range count {
			f.rec.add("%s", c.send(notesPath, 2, 5*time.Second, "hello"))
			f.rec.add("%s", c.send(ackPath, 0, 2500*time.Millisecond, "hello"))
		}
		c.close()
	}
	return nil
}

// busiest returns the runner that took the most requests of the long streams.
func (f *fleet) busiest() *runner {
	var best *runner
	most := -1
	for _, r := range f.runners {
		count := 0
		for _, a := range r.all() {
			if a.path == notesPath && a.answered.IsZero() {
				count++
			}
		}
		if count > most {
			best, most = r, count
		}
	}
	return best
}

func judgeResume(f *fleet, attempts []*attempt, acknowledged time.Time) verdict {
	runs := map[string][]*arrival{}
	for _, r := range f.runners {
		for _, a := range r.all() {
			if a.ran {
				runs[a.id] = append(runs[a.id], a)
			}
		}
	}
	twice, joined := 0, 0
	for _, a := range attempts {
		f.rec.add("%s", a)
		late := false
		for _, one := range runs[a.id] {
			after := one.at.Sub(acknowledged)
			f.rec.add("    run by %s, %s after the acknowledgement", one.runner.id, after.Round(time.Millisecond))
			late = late || after > applyDeadline
		}
		if late && len(runs[a.id]) > 1 {
			twice++
			if strings.Contains(a.body, "id: 1\n") && a.complete {
				joined++
			}
		}
	}
	return verdict{broken: twice > 0, text: fmt.Sprintf("TWICE: %d of %d streams ran a second time though their route could not be resumed any more; ORDER: %d answers join pieces of two runs", twice, len(attempts), joined)}
}
