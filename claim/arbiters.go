package claim

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"foxtaildock.example/dock/ident"
	"foxtaildock.example/dock/work"
)

// Candidate is an entry that may be an arbiter.
type Candidate struct {
	Address string
	Domain  ident.FailureDomain
	// Silent is true if the entry left the last call unanswered.
	Silent bool
}

// answeringArbiters is the number of arbiters of a job that answer.
const answeringArbiters = 2

// Arbiters returns the arbiters of a job: the failure domains are ordered by a hash, and the first
// two with an entry that isn't silent have one each, that with the highest hash (rendezvous
// hashing). Silent entries that would go before these are listed too, as they may be back. If only
// one failure domain answers, it has both.
//
// Two entries that don't quite agree on who is there, since one has just come, gone or fallen
// silent, have an arbiter in common; also entries of two failure domains that can't reach each
// other, if there is a third that reaches both. The order of the candidates doesn't matter.
func Arbiters(job work.JobID, candidates []Candidate) []Candidate {
	domains := rankDomains(job, candidates)
	var list []Candidate
	answering := 0
	for _, d := range domains {
		if answering == answeringArbiters {
			return list
		}
		for _, e := range d.sorted() {
			list = append(list, e.Candidate)
			if !e.Silent {
				answering++
				break
			}
		}
	}
	for _, d := range domains { // too few of them answer
		for _, e := range d.sorted() {
			if answering < answeringArbiters && !e.Silent && !slices.Contains(list, e.Candidate) {
				list = append(list, e.Candidate)
				answering++
			}
		}
	}
	return list
}

// rankedDomain is a failure domain with its entries.
type rankedDomain struct {
	name    ident.FailureDomain
	rank    uint64
	entries []rankedEntry
}

type rankedEntry struct {
	Candidate
	rank uint64
}

// rankDomains returns the failure domains of the candidates, the highest rank first.
func rankDomains(job work.JobID, candidates []Candidate) []rankedDomain {
	var domains []rankedDomain
	for _, c := range candidates {
		at := slices.IndexFunc(domains, func(d rankedDomain) bool { return d.name == c.Domain })
		if at < 0 {
			at = len(domains)
			domains = append(domains, rankedDomain{name: c.Domain, rank: rank(job, string(c.Domain))})
		}
		domains[at].entries = append(domains[at].entries, rankedEntry{c, rank(job, c.Address)})
	}
	slices.SortFunc(domains, func(a, b rankedDomain) int {
		return cmp.Or(cmp.Compare(b.rank, a.rank), cmp.Compare(a.name, b.name))
	})
	return domains
}

// sorted sorts the entries of a failure domain by rank and returns them.
func (d rankedDomain) sorted() []rankedEntry {
	slices.SortFunc(d.entries, func(a, b rankedEntry) int {
		return cmp.Or(cmp.Compare(b.rank, a.rank), cmp.Compare(a.Address, b.Address))
	})
	return d.entries
}

// rank returns the rank of an entry or failure domain for a job.
func rank(job work.JobID, name string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(string(job)) // writes to a digest never fail
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(name)
	return d.Sum64()
}
