package dispatch

import (
	"cmp"
	"slices"
	"time"

	"foxtaildock.example/dock/ident"
)

// Defaults of WantingConfig.
const (
	// DefaultOfferFor is how long a slot is kept for a home; a round trip takes
	// a few milliseconds at most.
	DefaultOfferFor = 20 * time.Millisecond
	// DefaultPatience is how much longer another home's task must have waited
	// before it is worth an offer message.
	DefaultPatience = 50 * time.Millisecond
)

// WantingConfig configures Wanting. Zero means defaults.
type WantingConfig struct {
	// OfferFor is how long a slot is kept for a home.
	OfferFor time.Duration
	// Patience is how much longer than the answering home's head another
	// home's head must have waited to get the slot by an offer.
	Patience time.Duration
}

// Wanting decides, at a gate, which home gets a slot that fell idle. The home
// that gets the answer needs no further message, so it goes first unless
// another home has waited longer by the configured patience.
type Wanting struct {
	config WantingConfig
	homes  []*wantingHome
}

// wantingHome is one home with waiting tasks or kept slots.
type wantingHome struct {
	home    ident.Incarnation
	service ident.Service
	// count is the number of tasks that wait, as last told, less those started.
	count int
	// since is when the oldest waiting task began to wait.
	since  time.Duration
	offers creditSet
}

// unmet reports whether the home waits for more slots than are kept for it.
func (h *wantingHome) unmet() bool { return h.count > len(h.offers.until) }

// NewWanting returns an empty core.
func NewWanting(config WantingConfig) *Wanting {
	if config.OfferFor == 0 {
		config.OfferFor = DefaultOfferFor
	}
	if config.Patience == 0 {
		config.Patience = DefaultPatience
	}
	return &Wanting{config: config}
}

// Want notes that count tasks of a home wait, the oldest for the time given. A
// zero count withdraws the want.
func (w *Wanting) Want(now time.Duration, home ident.Incarnation, service ident.Service, count int, oldest time.Duration) {
	h := w.find(home)
	if h == nil {
		if count == 0 {
			return
		}
		h = w.insert(home)
	}
	h.service = service
	h.count = count
	h.since = now - oldest
	w.tidy(h)
}

// Freed keeps a slot that fell idle for a home and returns it; false means that
// no home wants it. If the home is the answering one, the answer carries the
// slot as credit; otherwise it takes an offer. Answering may be empty.
func (w *Wanting) Freed(now time.Duration, answering ident.Incarnation) (ident.Incarnation, bool) {
	h := w.next(answering)
	if h == nil {
		return "", false
	}
	h.offers.add(1, now+w.config.OfferFor)
	return h.home, true
}

// next returns the home that gets the next slot, or nil.
func (w *Wanting) next(answering ident.Incarnation) *wantingHome {
	var oldest *wantingHome
	for _, h := range w.homes {
		if h.unmet() && (oldest == nil || h.since < oldest.since) {
			oldest = h
		}
	}
	if oldest == nil {
		return nil
	}
	own := w.find(answering)
	if own != nil && own.unmet() && own.since-oldest.since < w.config.Patience {
		return own
	}
	return oldest
}

// Started notes that a task of the home took a slot, and reports whether it
// was one kept for the home.
func (w *Wanting) Started(home ident.Incarnation) bool {
	h := w.find(home)
	if h == nil {
		return false
	}
	h.count = max(0, h.count-1)
	kept := len(h.offers.until) > 0
	if kept {
		h.offers.until = slices.Delete(h.offers.until, 0, 1)
	}
	w.tidy(h)
	return kept
}

// Expire takes back the slots that were not used in time and returns their
// number; the gate then calls Freed for each. A home that let a slot lapse is
// gone or has nothing left to run, so its want is dropped until it asks again.
func (w *Wanting) Expire(now time.Duration) int {
	lapsed := 0
	for _, h := range slices.Clone(w.homes) {
		kept := len(h.offers.until)
		left := h.offers.count(now)
		if left == kept {
			continue
		}
		lapsed += kept - left
		h.count = 0
		w.tidy(h)
	}
	return lapsed
}

// NextExpiry returns when Expire has something to do.
func (w *Wanting) NextExpiry() (time.Duration, bool) {
	var next time.Duration
	found := false
	for _, h := range w.homes {
		if len(h.offers.until) == 0 {
			continue
		}
		if until := h.offers.until[0]; !found || until < next {
			next, found = until, true
		}
	}
	return next, found
}

// Kept returns the number of slots kept for all homes.
func (w *Wanting) Kept() int {
	n := 0
	for _, h := range w.homes {
		n += len(h.offers.until)
	}
	return n
}

// KeptFor returns the number of slots kept for one home.
func (w *Wanting) KeptFor(home ident.Incarnation) int {
	h := w.find(home)
	if h == nil {
		return 0
	}
	return len(h.offers.until)
}

// Remove forgets a home and returns the number of slots that were kept for it.
func (w *Wanting) Remove(home ident.Incarnation) int {
	h := w.find(home)
	if h == nil {
		return 0
	}
	kept := len(h.offers.until)
	h.count = 0
	h.offers.until = nil
	w.tidy(h)
	return kept
}

func (w *Wanting) search(home ident.Incarnation) (int, bool) {
	return slices.BinarySearchFunc(w.homes, home, func(h *wantingHome, i ident.Incarnation) int {
		return cmp.Compare(h.home, i)
	})
}

func (w *Wanting) find(home ident.Incarnation) *wantingHome {
	i, ok := w.search(home)
	if !ok {
		return nil
	}
	return w.homes[i]
}

func (w *Wanting) insert(home ident.Incarnation) *wantingHome {
	i, _ := w.search(home)
	h := &wantingHome{home: home}
	w.homes = slices.Insert(w.homes, i, h)
	return h
}

// tidy drops a home that neither waits nor has slots kept.
func (w *Wanting) tidy(h *wantingHome) {
	if h.count > 0 || len(h.offers.until) > 0 {
		return
	}
	if i, ok := w.search(h.home); ok {
		w.homes = slices.Delete(w.homes, i, i+1)
	}
}
