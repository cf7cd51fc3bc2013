package link

import (
	"math"
	"testing"
	"time"

	"foxtaildock.example/dock/rpc/linkpb"
	"foxtaildock.example/dock/run"
)

// A figure that can't be right must count as unknown, and a message of an older agent
// must not be an error.
func TestSpeedOfAMessage(t *testing.T) {
	figure := run.SpeedFigure{Value: 1.5, Samples: 9, Age: 20 * time.Millisecond}
	if got, err := SpeedOf(RoomMessage(run.Room{Speed: figure})); got != figure || err != nil {
		t.Errorf("figure %+v (%v), want %+v", got, err, figure)
	}
	if got, err := SpeedOf(&linkpb.Room{}); got != (run.SpeedFigure{}) || err != nil {
		t.Errorf("figure %+v (%v) of a message without one, want unknown", got, err)
	}
	for _, m := range []*linkpb.Room{{Speed: math.NaN()}, {Speed: math.Inf(1)}, {Speed: -1}, {Speed: 1, SpeedAgeMs: -1}, {Speed: 1, SpeedAgeMs: math.MaxInt64}} {
		m.SpeedSamples = 9
		if got, err := SpeedOf(m); got != (run.SpeedFigure{}) || err == nil {
			t.Errorf("figure %+v of %v, want unknown and an error", got, m)
		}
	}
}
