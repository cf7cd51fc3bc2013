package main

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"foxtaildock.example/bench/sitesim"
)

// tableWindow is the length of the windows of the table.
const tableWindow = 2 * time.Second

var sizeClassNames = [3]string{"largest tenth", "next fifth", "rest"}

// grouping is one way to divide the jobs of a scenario into the rows of the table.
type grouping struct {
	name string
	key  func(*sitesim.Outcome) string
}

var groupings = []grouping{
	{"all", func(*sitesim.Outcome) string { return "" }},
	{"kind", func(o *sitesim.Outcome) string { return o.Kind }},
	{"size", func(o *sitesim.Outcome) string {
		return fmt.Sprintf("%s %d %s", o.Kind, o.Class, sizeClassNames[o.Class])
	}},
	{"window", func(o *sitesim.Outcome) string {
		return fmt.Sprintf("from %2.0f s", o.At.Truncate(tableWindow).Seconds())
	}},
	{"entry", func(o *sitesim.Outcome) string { return fmt.Sprint(o.Entry) }},
}

// printTable prints the outcomes of all seeds: the product's beside those of the baseline
// policy and of the bound.
func (c *siteCommand) printTable(sc sitesim.Scenario, results []*sitesim.Result) error {
	beside := make([]sitesim.Beside, c.Seeds)
	var runs errgroup.Group
	for i := range c.Seeds {
		runs.Go(func() (err error) {
			beside[i], err = sc.RunBeside(uint64(i) + 1)
			return err
		})
	}
	if err := runs.Wait(); err != nil {
		return err
	}
	var columns [3][]sitesim.Outcome
	for i, r := range results {
		if r != nil {
			columns[0] = append(columns[0], r.Outcomes...)
			columns[1] = append(columns[1], beside[i].Baseline...)
			columns[2] = append(columns[2], beside[i].Bound...)
		}
	}
	fmt.Printf("    %-28s %6s  %-29s %-29s %s\n", "", "jobs", "product", "baseline", "bound")
	fmt.Printf("    %-28s %6s ", "", "")
	for range columns {
		fmt.Printf(" %5s %5s %5s %5s %5s", "time", "late", "ref", "lost", "worth")
	}
	fmt.Println()
	for _, g := range groupings {
		printGroup(g, columns)
	}
	printRefusedFree(columns[0])
	return nil
}

// printGroup prints a row for each key of a grouping: shares of the jobs in time, late,
// refused and lost, and the earned share of the worth.
func printGroup(g grouping, columns [3][]sitesim.Outcome) {
	var tallies [3]map[string]*sitesim.Tally
	for i, list := range columns {
		tallies[i] = sitesim.TallyBy(list, g.key)
	}
	for _, k := range slices.SortedFunc(maps.Keys(tallies[0]), cmp.Compare[string]) {
		fmt.Printf("    %-28s %6d ", g.name+" "+k, tallies[0][k].Jobs)
		for _, t := range tallies {
			fmt.Print(tallyText(t[k]))
		}
		fmt.Println()
	}
}

// printRefusedFree prints what the product refused while a server was free.
func printRefusedFree(list []sitesim.Outcome) {
	var all, free sitesim.Tally
	for i := range list {
		all.Add(&list[i])
		if list[i].RefusedFree {
			free.Add(&list[i])
		}
	}
	fmt.Printf("    refused while a server was free: %d jobs, %.4f of the worth\n", free.Jobs, free.Worth/all.Worth)
}

func tallyText(t *sitesim.Tally) string {
	if t == nil {
		return fmt.Sprintf(" %29s", "-")
	}
	return fmt.Sprintf(" %5.3f %5.3f %5.3f %5.3f %5.3f",
		t.Share(sitesim.InTime), t.Share(sitesim.Late), t.Share(sitesim.Refused), t.Share(sitesim.Lost), t.Benefit())
}
