package runloop

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"
)

func TestRun(t *testing.T) {
	tests := []struct {
		name     string
		interval time.Duration
		nilWork  bool
		want     []string // handled items and ticks, each after its time
	}{
		{"work and ticks", time.Second, false, []string{"0.5s item 1", "1s tick", "1.5s item 2", "2s tick"}},
		{"work only", 0, false, []string{"0.5s item 1", "1.5s item 2"}},
		{"ticks only", time.Second, true, []string{"1s tick", "2s tick"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(t.Context(), 2500*time.Millisecond)
				defer cancel()
				start := time.Now()
				var got []string
				record := func(event string) {
					got = append(got, map[time.Duration]string{500 * time.Millisecond: "0.5s", time.Second: "1s",
						1500 * time.Millisecond: "1.5s", 2 * time.Second: "2s"}[time.Since(start)]+" "+event)
				}
				var work chan string
				if !test.nilWork {
					work = make(chan string, 1)
					for i, item := range []string{"item 1", "item 2"} {
						time.AfterFunc(time.Duration(i)*time.Second+500*time.Millisecond, func() { work <- item })
					}
				}
				var tick func()
				if test.interval > 0 {
					tick = func() { record("tick") }
				}
				Run(ctx, work, test.interval, record, tick)
				if !slices.Equal(got, test.want) {
					t.Errorf("Run: got %q, want %q", got, test.want)
				}
				if got, want := time.Since(start), 2500*time.Millisecond; got != want {
					t.Errorf("Run returned after %s, want %s, when its context ends", got, want)
				}
			})
		})
	}
}

// Ticks that are due while an item is handled are merged into one.
func TestRunTicksOnceAfterLongItem(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 5700*time.Millisecond)
		defer cancel()
		work := make(chan time.Duration, 1)
		work <- 5500 * time.Millisecond
		ticks := 0
		Run(ctx, work, time.Second, func(duration time.Duration) { time.Sleep(duration) }, func() { ticks++ })
		if ticks != 1 {
			t.Errorf("ticks: got %d, want 1", ticks)
		}
	})
}

func TestSleep(t *testing.T) {
	tests := []struct {
		name      string
		timeout   time.Duration // of the context
		want      bool
		wantSlept time.Duration
	}{
		{"all of the duration", time.Minute, true, time.Second},
		{"until the context ends", time.Millisecond, false, time.Millisecond},
		{"context already ended", 0, false, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(t.Context(), test.timeout)
				defer cancel()
				start := time.Now()
				if got, slept := Sleep(ctx, time.Second), time.Since(start); got != test.want || slept != test.wantSlept {
					t.Errorf("Sleep: got %v after %s, want %v after %s", got, slept, test.want, test.wantSlept)
				}
			})
		})
	}
}

// The mutex excludes other goroutines, and simulated time advances while goroutines wait for it.
func TestMutex(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		mutex := NewMutex()
		counter := 0
		for range 10 {
			go func() {
				mutex.Lock()
				defer mutex.Unlock()
				before := counter
				time.Sleep(time.Second) // stands for a disk write
				counter = before + 1
			}()
		}
		time.Sleep(10*time.Second + time.Millisecond)
		mutex.Lock()
		defer mutex.Unlock()
		if counter != 10 {
			t.Errorf("increments under the mutex: got %d, want 10", counter)
		}
	})
}
