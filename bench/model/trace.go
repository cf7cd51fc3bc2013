package model

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
)

// header is the first line of a stored trace.
type header struct {
	Seed     uint64   `json:"seed"`
	Mutation Mutation `json:"mutation,omitempty"`
	// FaultFree is Trace.FaultFree.
	FaultFree bool `json:"planned,omitempty"`
	// Seeds is the number of consecutive seeds, from Seed on, with which the
	// commands are run. One seed is not enough, since any change of a core
	// changes the course of the run with a given seed.
	Seeds int `json:"seeds,omitempty"`
	// Violates is the expected outcome: the guarantee that a run with one of the
	// seeds violates, or empty if no run violates any.
	Violates Guarantee `json:"breaks,omitempty"`
	// About describes in one sentence what the run shows.
	About string `json:"about,omitempty"`
}

// Stored is a trace with its expected outcome, as it is kept in testdata.
type Stored struct {
	Trace Trace
	// Seeds is the number of consecutive seeds, from that of Trace on, with
	// which the commands are run.
	Seeds int
	// Violates is the guarantee that a run with one of the seeds violates, or
	// empty if no run violates any.
	Violates Guarantee
	// About describes in one sentence what the run shows.
	About string
}

// WriteStored writes a trace as JSON lines: one header, then one line per
// command. It returns the error of the first failed write.
func WriteStored(w io.Writer, s Stored) error {
	e := json.NewEncoder(w)
	if err := e.Encode(header{Seed: s.Trace.Seed, Mutation: s.Trace.Mutation, FaultFree: s.Trace.FaultFree, Seeds: s.Seeds, Violates: s.Violates, About: s.About}); err != nil {
		return fmt.Errorf("writing the header of a trace: %w", err)
	}
	for i, c := range s.Trace.Commands {
		if err := e.Encode(c); err != nil {
			return fmt.Errorf("writing command %d of a trace: %w", i, err)
		}
	}
	return nil
}

// ReadStored reads a trace that WriteStored wrote. It returns an error if a
// line is not valid JSON or has an unknown field.
func ReadStored(r io.Reader) (Stored, error) {
	d := json.NewDecoder(bufio.NewReader(r))
	d.DisallowUnknownFields()
	var h header
	if err := d.Decode(&h); err != nil {
		return Stored{}, fmt.Errorf("reading the header of a trace: %w", err)
	}
	s := Stored{Trace: Trace{Seed: h.Seed, Mutation: h.Mutation, FaultFree: h.FaultFree}, Seeds: h.Seeds, Violates: h.Violates, About: h.About}
	for d.More() {
		var c Command
		if err := d.Decode(&c); err != nil {
			return Stored{}, fmt.Errorf("reading command %d of a trace: %w", len(s.Trace.Commands), err)
		}
		s.Trace.Commands = append(s.Trace.Commands, c)
	}
	return s, nil
}

// Replay runs a stored trace with each of its seeds. It returns the first
// violation, or nil if there was none. log may be nil.
func (s *Stored) Replay(log io.Writer) *Violation {
	trace := s.Trace
	for i := range uint64(max(1, s.Seeds)) {
		trace.Seed = s.Trace.Seed + i
		if r := RunLogged(trace, log); r.Violation != nil {
			return r.Violation
		}
	}
	return nil
}
