package core

import (
	"testing"
	"time"
	"yarrowridge/internal/controlplane/coreapi"
)

// A runner that fails most attempts is named soon, whichever routers met it, and is forgotten soon after.
func TestFailingRunners(t *testing.T) {
	var health runnerHealth
	now := time.Now()
	health.note([]coreapi.RunnerStats{{ID: "well", Attempts: 20, Failures: 1}, {ID: "ill", Attempts: 1, Failures: 1}, {ID: "half", Attempts: 1, Failures: 1}}, now)
	health.note([]coreapi.RunnerStats{{ID: "ill", Attempts: 1, Failures: 1}, {ID: "half", Attempts: 1}}, now.Add(100*time.Millisecond))
	failing := health.failing(now.Add(200 * time.Millisecond))
	if len(failing) != 1 || failing[0].ID != "ill" || failing[0].Share < 0.99 {
		t.Errorf("failing: %+v, ill alone expected", failing)
	}
	if failing = health.failing(now.Add(2 * time.Second)); len(failing) != 0 {
		t.Errorf("failing two seconds later: %+v, none expected", failing)
	}
	health.failing(now.Add(20 * time.Second))
	if len(health.runners) != 0 {
		t.Errorf("%d runners remembered for long, none expected", len(health.runners))
	}
}

// A runner that serves nearly all attempts is not named, however many it fails.
func TestManyAttemptsFewFailures(t *testing.T) {
	var health runnerHealth
	now := time.Now()
	for range 74 {
		health.note([]coreapi.RunnerStats{{ID: "a", Attempts: 10, Failures: 1}}, now)
	}
	if failing := health.failing(now); len(failing) != 0 {
		t.Errorf("failing: %+v, none expected", failing)
	}
}
