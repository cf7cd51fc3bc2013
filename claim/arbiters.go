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

// Arbiters returns the arbiters that an entry, at the address self, asks about a job. The failure
// domains are ordered by a hash, and in each the entries (rendezvous hashing). The list has the
// first entry of each domain that isn't silent, up to the given number of them besides the entry
// itself, and the silent ones that would go before these, as they may be back. If fewer domains
// answer, the next entries follow. The order of the candidates doesn't matter.
//
// Entries that agree on who is there all ask the first. If both ask two, entries of two failure
// domains that can't reach each other have one in common, provided that a third reaches both.
func Arbiters(job work.JobID, self string, candidates []Candidate, others int) []Candidate {
	domains := rankDomains(job, candidates)
	var list []Candidate
	found := 0
	add := func(c Candidate) {
		list = append(list, c)
		if !c.Silent && c.Address != self {
			found++
		}
	}
	for _, d := range domains {
		if found == others {
			return list
		}
		for _, e := range d.sorted() {
			add(e.Candidate)
			if !e.Silent {
				break
			}
		}
	}
	for _, d := range domains { // too few of them answer
		for _, e := range d.sorted() {
			if found < others && !slices.Contains(list, e.Candidate) {
				add(e.Candidate)
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
