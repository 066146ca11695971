package scale

import (
	"slices"
	"time"

	"yarrowridge/internal/wire"
)

// Rates are frames and bytes a second.
type Rates struct {
	FramesSent, FramesReceived float64
	BytesSent, BytesReceived   float64
}

// Load is what one process, or one router as the mean of all, did a second in a phase.
type Load struct {
	Processor float64 // cores kept busy
	Memory    int64   // resident bytes at the end
	Files     int     // open file descriptors at the end
	Kinds     map[string]Rates
}

// Total adds all kinds up.
//
//	all := load.Total()
func (l Load) Total() Rates {
	var sum Rates
	for _, k := range l.Kinds {
		sum.FramesSent += k.FramesSent
		sum.FramesReceived += k.FramesReceived
		sum.BytesSent += k.BytesSent
		sum.BytesReceived += k.BytesReceived
	}
	return sum
}

// Phase is what everyone did in one phase.
type Phase struct {
	Name    string
	Seconds float64
	Router  Load // the mean of all; the processor's part has the hollow runners in it
	Primary Load
	Backup  Load // the mean of the backups
	Voter   Load // the mean of the other cores
}

// runnersKind is the kind of message that in the hollow process only runners send.
const runnersKind = "core.runner"

// operatorKind is the kind that in the hollow process only the operator sends.
const operatorKind = "core.write"

// difference works out a phase from the readings before and after it.
func difference(name string, routers int, before, after reading) Phase {
	seconds := after.at.Sub(before.at).Seconds()
	out := Phase{Name: name, Seconds: seconds, Router: loadOf(before.hollow, after.hollow, seconds, routers)}
	delete(out.Router.Kinds, runnersKind)
	delete(out.Router.Kinds, operatorKind)
	var backups, voters []Load
	for address, now := range after.cores {
		load := loadOf(before.cores[address], now, seconds, 1)
		switch {
		case address == after.primary:
			out.Primary = load
		case slices.Contains(after.backups, address):
			backups = append(backups, load)
		default:
			voters = append(voters, load)
		}
	}
	out.Backup, out.Voter = mean(backups), mean(voters)
	return out
}

// loadOf is what a process did between two readings, as a part for each of those it stands for.
func loadOf(before, after process, seconds float64, parts int) Load {
	whole := seconds * float64(parts)
	out := Load{Processor: (after.usage.processor - before.usage.processor).Seconds() / whole,
		Memory: after.usage.memory / int64(parts), Files: after.usage.files / parts, Kinds: map[string]Rates{}}
	for kind, now := range after.traffic {
		since := now.Minus(before.traffic[kind])
		if since == (wire.Traffic{}) {
			continue
		}
		sent, received := since.Sent(), since.Received()
		out.Kinds[kind] = Rates{float64(sent.Frames) / whole, float64(received.Frames) / whole,
			float64(sent.Bytes) / whole, float64(received.Bytes) / whole}
	}
	return out
}

// mean is the mean of some loads.
func mean(loads []Load) Load {
	out := Load{Kinds: map[string]Rates{}}
	n := len(loads)
	if n == 0 {
		return out
	}
	for _, l := range loads {
		out.Processor += l.Processor / float64(n)
		out.Memory += l.Memory / int64(n)
		out.Files += l.Files / n
		for kind, k := range l.Kinds {
			sum := out.Kinds[kind]
			sum.FramesSent += k.FramesSent / float64(n)
			sum.FramesReceived += k.FramesReceived / float64(n)
			sum.BytesSent += k.BytesSent / float64(n)
			sum.BytesReceived += k.BytesReceived / float64(n)
			out.Kinds[kind] = sum
		}
	}
	return out
}

// middle and longest of some times; 0 where there are none.
func middle(times []time.Duration) time.Duration {
	if len(times) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(times))
	return sorted[len(sorted)/2]
}

func longest(times []time.Duration) time.Duration {
	if len(times) == 0 {
		return 0
	}
	return slices.Max(times)
}
