package eventqueue

import (
	"slices"
	"testing"
	"time"
)

func TestEqualTimesPopInOrderOfPush(t *testing.T) {
	var q Queue[string]
	q.Push(2*time.Second, "c")
	q.Push(time.Second, "a")
	q.Push(time.Second, "b")
	var got []string
	for {
		e, ok := q.Pop()
		if !ok {
			break
		}
		got = append(got, e)
		if e == "a" {
			q.Push(0, "late")
		}
	}
	if want := []string{"a", "b", "late", "c"}; !slices.Equal(got, want) {
		t.Fatalf("popped %v, want %v", got, want)
	}
	if q.Now() != 2*time.Second {
		t.Fatalf("after the last event the time is %v, want 2s", q.Now())
	}
}
