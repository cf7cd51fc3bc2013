package run

import "strconv"

// Incarnation identifies one incarnation of a backend server. A server may start again
// under the ID that it had.
type Incarnation struct {
	ID string
	// StartUnixMs is the start by the server's wall clock, in Unix milliseconds.
	StartUnixMs int64
}

// String returns the name of the incarnation, by which entries tell it from others. It is
// empty for the zero value.
func (i Incarnation) String() string {
	if i == (Incarnation{}) {
		return ""
	}
	return i.ID + "@" + strconv.FormatInt(i.StartUnixMs, 10)
}

func (e *ServerReported) incarnation() Incarnation {
	return Incarnation{ID: e.Server.Incarnation, StartUnixMs: e.StartUnixMs}
}
