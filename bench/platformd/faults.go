package platformd

import "time"

// Faults is what the stand-in does wrong. It is replaced as a whole over the
// admin path.
type Faults struct {
	// Down answers every call with 503 before any effect.
	Down bool `json:"down,omitempty"`
	// Silent takes calls without effect and never answers them.
	Silent bool `json:"silent,omitempty"`
	// LatencyMS delays every call, half of it before the effect and half
	// after it.
	LatencyMS int `json:"latency_ms,omitempty"`
	// LoseEvery cuts the connection in place of every n-th answer to a write,
	// after the write took effect. Zero loses none, one loses all.
	LoseEvery int `json:"lose_every,omitempty"`
}

func (f Faults) halfLatency() time.Duration {
	return time.Duration(f.LatencyMS) * time.Millisecond / 2
}

// Stats counts what the stand-in was asked to do.
type Stats struct {
	Reads       int64 `json:"reads"`
	Writes      int64 `json:"writes"`
	Conflicts   int64 `json:"conflicts"`
	Unavailable int64 `json:"unavailable"`
	LostAnswers int64 `json:"lost_answers"`
}
