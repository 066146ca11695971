package cluster

import (
	"testing"
	"testing/synctest"
	"time"
	"yarrowridge/internal/controlplane/coreapi"
)

// A heartbeat that is sent again and again until a primary takes it tells the age of each time.
func TestHeartbeatTellsItsAgeWhenSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		heartbeat := timedHeartbeat{started: time.Now()}
		for _, age := range []int{0, 400, 1300} {
			time.Sleep(time.Until(heartbeat.started.Add(time.Duration(age) * time.Millisecond)))
			raw, err := heartbeat.MarshalMsg(nil)
			if err != nil {
				t.Fatal(err)
			}
			var sent coreapi.HeartbeatRequest
			if _, err := sent.UnmarshalMsg(raw); err != nil || sent.AgeMs != age {
				t.Errorf("age %d ms after %d ms, %v", sent.AgeMs, age, err)
			}
		}
	})
}
