package sim

import (
	"fmt"
	"time"

	"foxtaildock.example/dock/ident"
)

// Site is one deployment.
type Site struct {
	Name    string
	Workers int
	Slots   int
	// Connections bounds those to one backend server.
	Connections int
	// PerRack is the number of workers in a rack; a rack is in one domain.
	PerRack int
	Domains int
	// Caller is the one-way latency between callers and entries.
	Caller time.Duration
	// Across is the one-way latency between failure domains.
	Across time.Duration
	// Within is the one-way latency inside a failure domain.
	Within time.Duration
}

// Norrbrand is the site of the Numbering Division.
func Norrbrand() Site {
	s := UFCS()
	s.Name = "norrbrand"
	s.Caller = 3 * time.Millisecond
	return s
}

// UFCS is the site of the workshop order service.
func UFCS() Site {
	return Site{
		Name:        "ufcs",
		Workers:     11,
		Slots:       8,
		Connections: 64,
		PerRack:     3,
		Domains:     3,
		Caller:      time.Millisecond,
		Across:      time.Millisecond,
		Within:      250 * time.Microsecond,
	}
}

// TotalSlots returns the number of tasks that the site runs at a time.
func (s Site) TotalSlots() int { return s.Workers * s.Slots }

// domain returns the failure domain of a worker.
func (s Site) domain(worker int) int { return worker / s.PerRack % s.Domains }

// DomainWorkers returns the workers of a failure domain.
func (s Site) DomainWorkers(domain int) []int {
	var workers []int
	for w := range s.Workers {
		if s.domain(w) == domain {
			workers = append(workers, w)
		}
	}
	return workers
}

// latency returns the one-way latency between two workers.
func (s Site) latency(from, to int) time.Duration {
	switch {
	case from == to:
		return 0
	case s.domain(from) == s.domain(to):
		return s.Within
	}
	return s.Across
}

func incarnation(worker int) ident.Incarnation {
	return ident.Incarnation(fmt.Sprintf("worker-%03d", worker))
}
