package sim

import (
	"fmt"
	"time"

	"foxtaildock.example/dock/ident"
)

// Site describes one deployment.
type Site struct {
	Name string
	// VMs is the number of VMs, each with an agent and a backend server.
	VMs int
	// Slots is the number of tasks that one backend server runs at a time.
	Slots int
	// Connections is the maximum number of connections to one backend server.
	Connections int
	// VMsPerRack is the number of VMs in a rack; a rack is in one failure domain.
	VMsPerRack int
	// Domains is the number of failure domains.
	Domains int
	// CallerLatency is the one-way latency between callers and entries.
	CallerLatency time.Duration
	// LatencyAcrossDomains is the one-way latency between failure domains.
	LatencyAcrossDomains time.Duration
	// LatencyWithinDomain is the one-way latency inside a failure domain.
	LatencyWithinDomain time.Duration
}

// Norrbrand is the site of the Numbering Division.
func Norrbrand() Site {
	s := UFCS()
	s.Name = "norrbrand"
	s.CallerLatency = 3 * time.Millisecond
	return s
}

// UFCS is the site of the workshop order service.
func UFCS() Site {
	return Site{
		Name:                 "ufcs",
		VMs:                  11,
		Slots:                8,
		Connections:          64,
		VMsPerRack:           3,
		Domains:              3,
		CallerLatency:        time.Millisecond,
		LatencyAcrossDomains: time.Millisecond,
		LatencyWithinDomain:  250 * time.Microsecond,
	}
}

// TotalSlots returns the number of tasks that the site can run at a time.
func (s Site) TotalSlots() int { return s.VMs * s.Slots }

// domain returns the failure domain of a VM.
func (s Site) domain(vm int) int { return vm / s.VMsPerRack % s.Domains }

// DomainVMs returns the VMs of a failure domain.
func (s Site) DomainVMs(domain int) []int {
	var vms []int
	for vm := range s.VMs {
		if s.domain(vm) == domain {
			vms = append(vms, vm)
		}
	}
	return vms
}

// latency returns the one-way latency between two VMs.
func (s Site) latency(from, to int) time.Duration {
	switch {
	case from == to:
		return 0
	case s.domain(from) == s.domain(to):
		return s.LatencyWithinDomain
	}
	return s.LatencyAcrossDomains
}

// incarnation returns the incarnation of the agent on a VM.
func incarnation(vm int) ident.Incarnation {
	return ident.Incarnation(fmt.Sprintf("worker-%03d", vm))
}
