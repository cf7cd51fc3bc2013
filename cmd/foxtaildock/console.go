package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"sync"
	"time"

	"foxtaildock.example/dock/report"
)

// console is where a command reads and writes.
type console struct {
	in     io.Reader
	out    io.Writer
	err    io.Writer
	getenv func(string) string
	// outColour and errTerminal say what kind of files out and err are.
	outColour   bool
	errTerminal bool
	// json is set if a program reads the output.
	json bool
}

// systemConsole is the console of the process.
func systemConsole() *console {
	return &console{
		in:          os.Stdin,
		out:         os.Stdout,
		err:         os.Stderr,
		getenv:      os.Getenv,
		outColour:   report.WantColour(os.Stdout, os.Getenv),
		errTerminal: report.WantColour(os.Stderr, os.Getenv),
	}
}

// printer returns a printer on the standard output.
func (c *console) printer() *report.Printer {
	return report.NewPrinter(c.out, report.WidthFrom(c.getenv), c.outColour)
}

// progress returns the progress of long work on the standard error.
func (c *console) progress(unit string, total int) *report.Progress {
	return report.NewProgress(c.err, c.errTerminal, unit, total)
}

// note tells a person something beside the output.
func (c *console) note(format string, args ...any) {
	_, _ = fmt.Fprintf(c.err, format+"\n", args...)
}

// patienceOfPeople is how long a person waits without a word.
const patienceOfPeople = 3 * time.Second

// whileWaiting tells a person every few seconds that an answer is awaited, until
// the returned function is called.
func (c *console) whileWaiting(what string) (stop func()) {
	began := time.Now()
	ticker := time.NewTicker(patienceOfPeople)
	ended := make(chan struct{})
	var told sync.WaitGroup
	told.Go(func() {
		for {
			select {
			case <-ticker.C:
				c.note("waiting for %s, %s", what, time.Since(began).Round(time.Second))
			case <-ended:
				return
			}
		}
	})
	return func() {
		ticker.Stop()
		close(ended)
		told.Wait()
	}
}

// printJSON writes a document for a program.
func (c *console) printJSON(document any) error {
	e := json.NewEncoder(c.out)
	e.SetIndent("", "  ")
	if err := e.Encode(document); err != nil {
		return fmt.Errorf("writing JSON: %w", err)
	}
	return nil
}
