// Command standins starts a small deployment of the project on loopback addresses, with stand-ins
// of the platform's store, the backend servers and the clients, and plays one case of the review.
package main

import (
	"fmt"
	"os"
	"strings"
	"time"
)

// verdict is the exit code of a case.
type verdict int

const (
	held   verdict = 0
	broken verdict = 1
	unable verdict = 2
)

var cases = map[string]func(log *Record, trouble bool) (verdict, error){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins CASE RECORD")
		os.Exit(int(unable))
	}
	log, err := NewRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(int(unable))
	}
	v, err := cases[os.Args[1]](log, os.Getenv("TROUBLE") != "0")
	if err != nil {
		v = unable
		log.Note("the case couldn't run: %v", err)
	}
	text := map[verdict]string{held: "the rule held", broken: "the rule was broken", unable: "the case couldn't run"}[v]
	log.Note("result %s", text)
	fmt.Println(text)
	os.Exit(int(v))
}

// resend is how long a client waits until it sends a job again (retryMs).
const resend = 1300 * time.Millisecond

// cancelBound is how long after the acknowledgement of a cancel a machine in touch may still start a
// task of the job (cancel_ms).
const cancelBound = 3 * time.Second

// milliseconds is the work of a task whose spec is its length.
func milliseconds(spec string) time.Duration {
	var ms int
	if _, err := fmt.Sscanf(spec[strings.LastIndex(spec, " ")+1:], "%d", &ms); err != nil {
		ms = 100
	}
	return time.Duration(ms) * time.Millisecond
}
