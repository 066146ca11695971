package quota

import (
	"testing"
	"time"
)

// Each commitment is released when its own window and margin are over.
func TestTokenWindowExpire(t *testing.T) {
	start := time.Unix(0, 0)
	window := tokenWindow{length: 10 * time.Second, margin: time.Second, reserved: 7}
	if _, ok := window.untilRelease(start); ok {
		t.Error("untilRelease of an empty window: got true, want false")
	}
	window.commit(2, start)
	window.commit(3, start.Add(time.Second))
	for _, test := range []struct {
		after       time.Duration
		inUse       int
		wantRelease time.Duration
	}{{time.Second, 7, 10 * time.Second}, {11 * time.Second, 7, 0}, {11*time.Second + 1, 5, time.Second - 1}, {12 * time.Second, 5, 0}} {
		window.expire(start.Add(test.after))
		if got := window.inUse(); got != test.inUse {
			t.Errorf("inUse after %s: got %d, want %d", test.after, got, test.inUse)
		}
		if got, ok := window.untilRelease(start.Add(test.after)); !ok || got != test.wantRelease {
			t.Errorf("untilRelease after %s: got %s, %v, want %s", test.after, got, ok, test.wantRelease)
		}
	}
	window.expire(start.Add(12*time.Second + 1))
	if got := window.inUse(); got != 2 || window.spent != 0 || window.reserved != 2 {
		t.Errorf("after all windows: got %d in use, %d spent, %d reserved, want 2, 0, 2", got, window.spent, window.reserved)
	}
}

// A window is not shortened while units are committed in it.
func TestTokenWindowSetLength(t *testing.T) {
	var window tokenWindow
	for _, step := range []struct {
		name   string
		spent  int
		length time.Duration
		want   time.Duration
	}{
		{"first", 0, 10 * time.Second, 10 * time.Second},
		{"shorter, nothing spent", 0, 5 * time.Second, 5 * time.Second},
		{"longer, units spent", 1, 8 * time.Second, 8 * time.Second},
		{"shorter, units spent", 1, 2 * time.Second, 8 * time.Second},
		{"shorter, all units released", 0, 2 * time.Second, 2 * time.Second},
	} {
		window.spent = step.spent
		window.setLength(step.length)
		if window.length != step.want {
			t.Errorf("%s: got %s, want %s", step.name, window.length, step.want)
		}
	}
}
