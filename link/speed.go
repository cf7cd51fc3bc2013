package link

import (
	"fmt"
	"math"

	"foxtaildock.example/dock/rpc/linkpb"
	"foxtaildock.example/dock/run"
)

func setSpeed(m *linkpb.Room, s run.SpeedFigure) {
	m.Speed, m.SpeedSamples, m.SpeedAgeMs = s.Value, s.Samples, s.Age.Milliseconds()
}

// SpeedOf returns the speed of the backend server in a message Room. It returns an error
// and the zero value, which means unknown, if the figures can't be right.
func SpeedOf(r *linkpb.Room) (run.SpeedFigure, error) {
	if v := r.GetSpeed(); math.IsNaN(v) || math.IsInf(v, 0) || v < 0 {
		return run.SpeedFigure{}, fmt.Errorf("speed %v of a backend server, want a number of at least 0", v)
	}
	if age := r.GetSpeedAgeMs(); age < 0 || age > math.MaxInt32 {
		return run.SpeedFigure{}, fmt.Errorf("speed is %d ms old, want 0 to %d", age, math.MaxInt32)
	}
	return run.SpeedFigure{Value: r.GetSpeed(), Samples: r.GetSpeedSamples(), Age: Millis(r.GetSpeedAgeMs())}, nil
}
