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
	Planned  bool     `json:"planned,omitempty"`
	// Seeds is how many seeds from Seed on the commands are run with, since a
	// change of any core changes what one seed leads to.
	Seeds int `json:"seeds,omitempty"`
	// Breaks is the stated outcome: the promise that a run with one of the
	// seeds breaks, or nothing if all runs keep all promises.
	Breaks Rule `json:"breaks,omitempty"`
	// About says in one sentence what the run shows.
	About string `json:"about,omitempty"`
}

// Stored is a trace with its stated outcome, as it is kept in testdata.
type Stored struct {
	Trace  Trace
	Seeds  int
	Breaks Rule
	About  string
}

// WriteStored writes a trace as JSON lines: one header, one line per command.
func WriteStored(w io.Writer, s Stored) error {
	e := json.NewEncoder(w)
	if err := e.Encode(header{Seed: s.Trace.Seed, Mutation: s.Trace.Mutation, Planned: s.Trace.Planned, Seeds: s.Seeds, Breaks: s.Breaks, About: s.About}); err != nil {
		return fmt.Errorf("header of a trace: %w", err)
	}
	for i, c := range s.Trace.Commands {
		if err := e.Encode(c); err != nil {
			return fmt.Errorf("command %d of a trace: %w", i, err)
		}
	}
	return nil
}

// ReadStored reads what WriteStored wrote.
func ReadStored(r io.Reader) (Stored, error) {
	d := json.NewDecoder(bufio.NewReader(r))
	d.DisallowUnknownFields()
	var h header
	if err := d.Decode(&h); err != nil {
		return Stored{}, fmt.Errorf("header of a trace: %w", err)
	}
	s := Stored{Trace: Trace{Seed: h.Seed, Mutation: h.Mutation, Planned: h.Planned}, Seeds: h.Seeds, Breaks: h.Breaks, About: h.About}
	for d.More() {
		var c Command
		if err := d.Decode(&c); err != nil {
			return Stored{}, fmt.Errorf("command %d of a trace: %w", len(s.Trace.Commands), err)
		}
		s.Trace.Commands = append(s.Trace.Commands, c)
	}
	return s, nil
}

// Replay runs a stored trace with each of its seeds. It returns the first broken
// promise, or nil if every run kept all.
func (s *Stored) Replay(log io.Writer) *Violation {
	trace := s.Trace
	for i := range uint64(max(1, s.Seeds)) {
		trace.Seed = s.Trace.Seed + i
		if r := RunLogged(trace, log); r.Broken != nil {
			return r.Broken
		}
	}
	return nil
}
