package dispatch

import (
	"testing"
	"time"
)

func TestFreedSlotGoesToAnsweringHomeUnlessAnotherWaitedLonger(t *testing.T) {
	w := NewWanting(WantingConfig{})
	w.Want(time.Second, "near", "s", 2, 10*time.Millisecond)
	w.Want(time.Second, "far", "s", 1, 30*time.Millisecond)
	if home, ok := w.Freed(time.Second, "near"); !ok || home != "near" {
		t.Fatalf("freed slot went to %q", home)
	}
	w.Want(time.Second, "far", "s", 1, 200*time.Millisecond)
	if home, ok := w.Freed(time.Second, "near"); !ok || home != "far" {
		t.Fatalf("freed slot went to %q", home)
	}
	if home, ok := w.Freed(time.Second, "far"); !ok || home != "near" {
		t.Fatalf("far has its one slot, but the next went to %q", home)
	}
	if home, ok := w.Freed(time.Second, ""); ok {
		t.Fatalf("nobody wants a slot, but it went to %q", home)
	}
}

func TestLapsedOfferDropsTheWant(t *testing.T) {
	w := NewWanting(WantingConfig{})
	w.Want(0, "gone", "s", 5, 0)
	w.Freed(0, "")
	at, ok := w.NextExpiry()
	if !ok || at != DefaultOfferFor {
		t.Fatalf("next expiry %v %v", at, ok)
	}
	if n := w.Expire(at); n != 1 {
		t.Fatalf("%d slots lapsed", n)
	}
	if _, ok := w.Freed(at, ""); ok {
		t.Fatal("a home that let a slot lapse got another one unasked")
	}
}

func TestStartedUsesTheKeptSlot(t *testing.T) {
	w := NewWanting(WantingConfig{})
	w.Want(0, "home", "s", 1, 0)
	w.Freed(0, "")
	if w.Kept() != 1 || w.KeptFor("home") != 1 {
		t.Fatalf("kept %d, for home %d", w.Kept(), w.KeptFor("home"))
	}
	if !w.Started("home") || w.Kept() != 0 {
		t.Fatal("the kept slot was not used")
	}
}
