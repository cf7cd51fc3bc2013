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

// console contains the standard streams and the environment of a command.
type console struct {
	in     io.Reader
	out    io.Writer
	err    io.Writer
	getenv func(string) string
	// outColour is true if out accepts colour, errTerminal if err is a
	// terminal. See report.WantColour.
	outColour   bool
	errTerminal bool
	// json is true if the output is JSON (--json).
	json bool
}

// systemConsole returns the console of this process.
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

// printer returns a printer that writes to standard output.
func (c *console) printer() *report.Printer {
	return report.NewPrinter(c.out, report.WidthFrom(c.getenv), c.outColour)
}

// progress returns a progress display on standard error. unit is the plural name
// of the units of work, and total their number.
func (c *console) progress(unit string, total int) *report.Progress {
	return report.NewProgress(c.err, c.errTerminal, unit, total)
}

// note writes one line for a person to standard error, apart from the output.
func (c *console) note(format string, args ...any) {
	_, _ = fmt.Fprintf(c.err, format+"\n", args...)
}

// waitNoticeInterval is the time between two notices of whileWaiting, and before
// the first.
const waitNoticeInterval = 3 * time.Second

// whileWaiting writes a notice every few seconds that the command is still
// waiting, until the returned function is called. That function must be called
// once.
func (c *console) whileWaiting(what string) (stop func()) {
	began := time.Now()
	ticker := time.NewTicker(waitNoticeInterval)
	stopped := make(chan struct{})
	var notifier sync.WaitGroup
	notifier.Go(func() {
		for {
			select {
			case <-ticker.C:
				c.note("waiting for %s, %s", what, time.Since(began).Round(time.Second))
			case <-stopped:
				return
			}
		}
	})
	return func() {
		ticker.Stop()
		close(stopped)
		notifier.Wait()
	}
}

// printJSON writes a value as indented JSON to standard output.
func (c *console) printJSON(document any) error {
	e := json.NewEncoder(c.out)
	e.SetIndent("", "  ")
	if err := e.Encode(document); err != nil {
		return fmt.Errorf("writing JSON: %w", err)
	}
	return nil
}
