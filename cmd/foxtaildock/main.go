// Command foxtaildock is the command-line client of foxtaildock, a dispatcher
// for sub-second tasks. Callers submit and follow jobs with it. Operators read
// and change the operators' document and see the status of the system.
//
// It uses the interfaces of package api, which are served by entries started with
// --settings. Entries on the users' platform have other interfaces; see package
// daemon.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := run(ctx, os.Args[1:], systemConsole())
	stop()
	os.Exit(int(code))
}
