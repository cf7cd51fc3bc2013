package audit

import (
	"fmt"
	"testing"
	"time"
)

func TestKeysSortByTime(t *testing.T) {
	early := Row{ID: "z", UnixMS: 999}
	late := Row{ID: "a", UnixMS: 1_000_000_000_000}
	if early.Key() >= late.Key() || KeyAt(time.UnixMilli(1000)) <= early.Key() || KeyAt(time.UnixMilli(999)) > early.Key() {
		t.Error("keys do not sort by time")
	}
}

func TestQuery(t *testing.T) {
	row := Row{UnixMS: 5000, By: "tills/first", Section: "domain/lulea", Outcome: Accepted}
	cases := []struct {
		q    Query
		want bool
	}{
		{Query{}, true},
		{Query{By: "tills"}, true},
		{Query{By: "tills/first"}, true},
		{Query{By: "till"}, false},
		{Query{Section: "domain/"}, true},
		{Query{Section: "domain/lule"}, false},
		{Query{Outcome: Conflict}, false},
		{Query{Since: time.UnixMilli(5001)}, false},
		{Query{Since: time.UnixMilli(5000)}, true},
	}
	for _, c := range cases {
		if c.q.Matches(&row) != c.want {
			t.Errorf("%+v: Matches is %v", c.q, !c.want)
		}
	}
	if got := (Query{Limit: 1 << 30}).Bounded().Limit; got != MaxLimit {
		t.Errorf("limit %d is above MaxLimit", got)
	}
}

// A flood of refusals from many hosts gives a bounded number of rows, and every
// refusal is counted.
func TestRefusalsAreGrouped(t *testing.T) {
	r := NewRefusals(10 * time.Second)
	total := 0
	for i := range 5000 {
		r.Add(time.Duration(i)*time.Millisecond, Row{ID: fmt.Sprint(i), By: fmt.Sprint("host", i%100), Outcome: Unauthorized})
	}
	if rows := r.Flush(9 * time.Second); rows != nil {
		t.Errorf("Flush returned %d rows before the interval was over", len(rows))
	}
	rows := r.Flush(10 * time.Second)
	for _, row := range rows {
		total += row.Count
	}
	if len(rows) != maxGroups+1 || total != 5000 {
		t.Errorf("%d rows for %d refusals", len(rows), total)
	}
	if r.Flush(time.Hour) != nil {
		t.Error("Flush returned the same rows twice")
	}
}

func TestSummarize(t *testing.T) {
	lines := Summarize([]Row{
		{By: "operators/a", Section: "domain/lulea", Outcome: Accepted, Reason: "power"},
		{By: "tills/a", Section: "service/x", Outcome: Conflict, Detail: "came second"},
		{By: "operators/b", Section: "domain/lulea", Outcome: Accepted, Reason: "done"},
		{By: "10.0.0.9", Outcome: Unauthorized, Count: 7},
	})
	got := fmt.Sprint(lines)
	want := "[{domain/lulea accepted 2 done 0} {from 10.0.0.9 unauthorized 7  0} {team/operators accepted 2 done 0} {team/tills conflict 1 came second 0}]"
	if got != want {
		t.Errorf("summary is %s", got)
	}
}
