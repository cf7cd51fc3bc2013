package platformd

import "time"

// Faults holds the faults of the stand-in. It is replaced as a whole over the
// admin interface.
type Faults struct {
	// Down answers every call with 503, without any effect.
	Down bool `json:"down,omitempty"`
	// Silent accepts calls without any effect and never answers them.
	Silent bool `json:"silent,omitempty"`
	// LatencyMS delays every call by this many milliseconds, half of it before
	// the effect and half after it.
	LatencyMS int `json:"latency_ms,omitempty"`
	// LoseEvery closes the connection instead of sending every n-th answer to a
	// write, after the write took effect. Zero loses none, one loses all.
	LoseEvery int `json:"lose_every,omitempty"`
}

func (f Faults) halfLatency() time.Duration {
	return time.Duration(f.LatencyMS) * time.Millisecond / 2
}

// Stats counts rows and objects that were read and written (also in commits that
// ended in a conflict), conflicts, calls that were answered with 503, and answers
// that were lost.
type Stats struct {
	Reads       int64 `json:"reads"`
	Writes      int64 `json:"writes"`
	Conflicts   int64 `json:"conflicts"`
	Unavailable int64 `json:"unavailable"`
	LostAnswers int64 `json:"lost_answers"`
}
