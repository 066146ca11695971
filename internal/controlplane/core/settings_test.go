package core

import (
	"testing"

	"yarrowridge/internal/controlplane/configuration"
)

func TestDefaultCodecReadsFleetConfigurations(t *testing.T) {
	if got := (Settings{}).WithDefaults().Codec; got != (configuration.FleetCodec{}) {
		t.Errorf("got codec %T, want %T", got, configuration.FleetCodec{})
	}
}
