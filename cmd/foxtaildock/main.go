// Command foxtaildock is the command line of callers and operators of
// foxtaildock, a dispatcher for sub-second tasks.
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
