package main

import (
	"context"
	"fmt"
	"os"

	"foxtaildock.example/bench/proof"
)

type demoCommand struct {
	Seed   uint64 `arg:"--seed" default:"1" help:"seed of the jobs"`
	Daemon string `arg:"--daemon" help:"path of foxtaildockd [default: beside foxbench]"`
	Dir    string `arg:"--dir" help:"directory for settings, logs and ledgers [default: a new one]"`
}

func (c *demoCommand) run(ctx context.Context) error {
	opts, err := proofOptions(c.Daemon, c.Dir, c.Seed)
	if err != nil {
		return err
	}
	if err := proof.Demo(ctx, opts, os.Stdout); err != nil {
		fmt.Println(err)
		fmt.Println("logs:", opts.Dir)
		return errViolated
	}
	return os.RemoveAll(opts.Dir)
}
