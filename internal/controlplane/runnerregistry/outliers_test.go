package runnerregistry

import (
	"testing"
	"time"

	"yarrowridge/internal/controlplane/coreapi"
)

// A runner that fails most attempts is soon detected, whichever routers report it, and is soon removed once the reports end.
func TestFailingRunnerIsDetected(t *testing.T) {
	var detector OutlierDetector
	now := time.Now()
	detector.Record([]coreapi.RunnerStats{
		{ID: "healthy", Attempts: 20, Failures: 1},
		{ID: "unhealthy", Attempts: 1, Failures: 1},
		{ID: "half", Attempts: 1, Failures: 1},
	}, now)
	detector.Record([]coreapi.RunnerStats{{ID: "unhealthy", Attempts: 1, Failures: 1}, {ID: "half", Attempts: 1}}, now.Add(100*time.Millisecond))
	failing := detector.Failing(now.Add(200 * time.Millisecond))
	if len(failing) != 1 || failing[0].ID != "unhealthy" || failing[0].FailureRatio < 0.99 {
		t.Errorf("got failing runners %+v, want unhealthy alone", failing)
	}
	if failing = detector.Failing(now.Add(2 * time.Second)); len(failing) != 0 {
		t.Errorf("got failing runners %+v two seconds later, want none", failing)
	}
	detector.Failing(now.Add(20 * time.Second))
	if len(detector.attempts) != 0 {
		t.Errorf("got %d runners tracked twenty seconds later, want none", len(detector.attempts))
	}
}

// A runner that serves most of its attempts is not failing, however many failures it has in total.
func TestFewFailuresOfManyAttempts(t *testing.T) {
	var detector OutlierDetector
	now := time.Now()
	for range 74 {
		detector.Record([]coreapi.RunnerStats{{ID: "a", Attempts: 10, Failures: 1}}, now)
	}
	if failing := detector.Failing(now); len(failing) != 0 {
		t.Errorf("got failing runners %+v, want none", failing)
	}
}
