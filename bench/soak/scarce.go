package soak

import (
	"math/rand/v2"
	"slices"
	"time"

	"foxtaildock.example/bench/usersite"
	"foxtaildock.example/dock/work"
)

// Of a soak with scarce capacity: every other server takes 2.2 times as long, and 3 of 100
// runs are stragglers.
const (
	stragglerEvery  = 33
	stragglerFactor = 7
)

var scarceSpeeds = []float64{1, 2.2}

// smallCapacity is that of a server whose capacity has shrunk: a quarter of the usual one,
// less than the largest job needs at once.
var smallCapacity = work.Demand{CPUMilli: 2000, MemoryMB: 1024}

// scarceFaults take capacity away. Each is listed several times, so that they make up about
// half of the faults of such a soak.
var scarceFaults = slices.Repeat([]fault{
	{"shrink backend server", func(r *run, random *rand.Rand, d time.Duration) {
		shrinkFor(r.site.Backends[random.IntN(len(r.site.Backends))], d)
	}},
	{"shrink all backend servers but one", func(r *run, random *rand.Rand, d time.Duration) {
		spared := random.IntN(len(r.site.Backends))
		for i, b := range r.site.Backends {
			if i != spared {
				shrinkFor(b, d)
			}
		}
	}},
	{"backend server leaves", func(r *run, random *rand.Rand, d time.Duration) {
		r.site.Backends[random.IntN(len(r.site.Backends))].Leave(d)
	}},
}, 4)

// shrinkFor reduces the capacity of a server, and restores it after d.
func shrinkFor(b *usersite.Backend, d time.Duration) {
	b.SetCapacity(smallCapacity)
	time.AfterFunc(d, func() { b.SetCapacity(usersite.Capacity) })
}
