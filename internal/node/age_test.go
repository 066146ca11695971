package node

import (
	"testing"
	"testing/synctest"
	"time"

	"yarrowridge/internal/core"
)

// A heartbeat that is sent again and again until a primary takes it tells the age of each time.
func TestHeartbeatTellsItsAgeWhenSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		heartbeat := agedHeartbeat{started: time.Now()}
		for _, age := range []int{0, 400, 1300} {
			time.Sleep(time.Until(heartbeat.started.Add(time.Duration(age) * time.Millisecond)))
			raw, err := heartbeat.MarshalMsg(nil)
			if err != nil {
				t.Fatal(err)
			}
			var got core.HeartbeatRequest
			if _, err := got.UnmarshalMsg(raw); err != nil || got.AgeMs != age {
				t.Errorf("age %d ms after %d ms, %v", got.AgeMs, age, err)
			}
		}
	})
}
