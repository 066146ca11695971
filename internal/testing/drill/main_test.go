package drill

import (
	"bytes"
	"testing"

	"yarrowridge/internal/lib/daemon"
)

// Commands keep working under their older names, so that existing scripts do not break.
func TestOlderCommandNames(t *testing.T) {
	for older, current := range map[string]string{"hall": "zone", "layout": "config", "day": "day"} {
		if got := canonicalCommand(older); got != current {
			t.Errorf("got %q for the command %q, want %q", got, older, current)
		}
	}
	var fromOlder, fromCurrent bytes.Buffer
	if code := Main([]string{"layout"}, &fromOlder); code != daemon.ExitOK {
		t.Fatalf("got exit code %d for layout, want %d", code, daemon.ExitOK)
	}
	if code := Main([]string{"config"}, &fromCurrent); code != daemon.ExitOK {
		t.Fatalf("got exit code %d for config, want %d", code, daemon.ExitOK)
	}
	if fromOlder.Len() == 0 || !bytes.Equal(fromOlder.Bytes(), fromCurrent.Bytes()) {
		t.Error("layout and config print different documents")
	}
}
