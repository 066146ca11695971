package cluster

import (
	"testing"
	"testing/synctest"
	"time"

	"yarrowridge/internal/controlplane/coreapi"
)

// A heartbeat that is retried until a primary accepts it contains the process's age as of each attempt.
func TestHeartbeatStatesAgeWhenSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		heartbeat := timedHeartbeat{startedAt: time.Now()}
		for _, want := range []int{0, 400, 1300} {
			time.Sleep(time.Until(heartbeat.startedAt.Add(time.Duration(want) * time.Millisecond)))
			raw, err := heartbeat.MarshalMsg(nil)
			if err != nil {
				t.Fatal(err)
			}
			var sent coreapi.HeartbeatRequest
			if _, err := sent.UnmarshalMsg(raw); err != nil || sent.AgeMs != want {
				t.Errorf("got age %d ms, error %v, want %d ms", sent.AgeMs, err, want)
			}
		}
	})
}
