package routing

import (
	"fmt"
	"testing"
)

// The digest depends on every field that routers need to know and on the boundaries between fields, and on nothing else.
func TestDigest(t *testing.T) {
	base := Runner{ID: "a", Service: "chat", Address: "10.0.0.1:8000", Zone: "z1", State: RunnerReady, Slots: 4, Phase: "serving",
		Models: []RunnerModel{{"m", 1}, {"n", 2}}, Sequence: 7}
	same := base
	same.Sequence = 99
	if same.Digest() != base.Digest() {
		t.Error("got another digest after a change of Sequence, want the same")
	}
	warm, warmer := base, base
	warm.WarmupLeftMs, warmer.WarmupLeftMs = 10, 900
	if warm.Digest() != warmer.Digest() || warm.Digest() == base.Digest() {
		t.Error("got a digest that depends on the length of the warm-up or ignores it, want one that depends only on whether the runner is warming up")
	}
	seen := map[uint64]string{base.Digest(): "base"}
	for name, change := range map[string]func(*Runner){
		"id": func(r *Runner) { r.ID = "b" }, "service": func(r *Runner) { r.Service = "x" }, "address": func(r *Runner) { r.Address = "10.0.0.2:8000" },
		"zone": func(r *Runner) { r.Zone = "z2" }, "state": func(r *Runner) { r.State = RunnerDraining }, "slots": func(r *Runner) { r.Slots = 5 },
		"phase": func(r *Runner) { r.Phase = "warm" }, "one model fewer": func(r *Runner) { r.Models = r.Models[:1] },
		"a revision":          func(r *Runner) { r.Models = []RunnerModel{{"m", 1}, {"n", 3}} },
		"fields run together": func(r *Runner) { r.ID, r.Service = "ac", "hat" },
	} {
		changed := base
		change(&changed)
		if other, collision := seen[changed.Digest()]; collision {
			t.Errorf("changed %s: got the digest of %s, want another", name, other)
		}
		seen[changed.Digest()] = name
	}
}

// The XOR of two runners' digests changes if both runners change in the same way, as in a release.
func TestDigestsDoNotCancelOut(t *testing.T) {
	const runners = 300
	digest := func(number, revision int) uint64 {
		runner := Runner{ID: fmt.Sprintf("i-%010x", number), Service: "s", Address: fmt.Sprintf("10.0.0.%d:80", number), State: RunnerReady,
			Models: []RunnerModel{{Name: "m", Revision: revision}}}
		return runner.Digest()
	}
	cancelled := 0
	for first := range runners {
		for second := range first {
			if digest(first, 1)^digest(second, 1) == digest(first, 2)^digest(second, 2) {
				cancelled++
			}
		}
	}
	if cancelled > 0 {
		t.Errorf("got the same digest before and after a release of %d pairs of %d runners, want none", cancelled, runners)
	}
}
