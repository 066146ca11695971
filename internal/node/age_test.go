package node

import (
	"testing"
	"testing/synctest"
	"time"

	"yarrowridge/internal/core"
)

// A beat that is sent again and again until a primary takes it tells the age of each time.
func TestBeatTellsItsAgeWhenSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		beat := agedBeat{begun: time.Now()}
		for _, age := range []int{0, 400, 1300} {
			time.Sleep(time.Until(beat.begun.Add(time.Duration(age) * time.Millisecond)))
			raw, err := beat.MarshalMsg(nil)
			if err != nil {
				t.Fatal(err)
			}
			var got core.Beat
			if _, err := got.UnmarshalMsg(raw); err != nil || got.AgeMs != age {
				t.Errorf("age %d ms after %d ms, %v", got.AgeMs, age, err)
			}
		}
	})
}
