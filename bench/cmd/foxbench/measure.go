package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"strings"

	"foxtaildock.example/bench/measure"
	"foxtaildock.example/bench/proof"
)

type measureCommand struct {
	Only   string `arg:"--only" help:"run only measurements whose name contains this"`
	Seed   uint64 `arg:"--seed" default:"1" help:"seed of the load"`
	Daemon string `arg:"--daemon" help:"path of foxtaildockd [default: beside foxbench]"`
	Dir    string `arg:"--dir" help:"directory for settings, logs and ledgers [default: a new one]"`
}

// measurement is a named measurement that prints one figure or a table.
type measurement struct {
	name    string
	execute func(context.Context, proof.Options, io.Writer) error
}

func measurements() []measurement {
	return []measurement{
		{"idle", measure.Idle},
		{"response", measure.Response},
		{"cost", measure.Cost},
		{"kill", measure.Kill},
	}
}

func (c *measureCommand) run(ctx context.Context) error {
	opts, err := proofOptions(c.Daemon, c.Dir, c.Seed)
	if err != nil {
		return err
	}
	for _, m := range measurements() {
		if !strings.Contains(m.name, c.Only) {
			continue
		}
		if err := m.execute(ctx, opts, os.Stdout); err != nil {
			return fmt.Errorf("measurement %s: %w", m.name, err)
		}
	}
	return nil
}
