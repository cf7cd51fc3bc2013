package main

import (
	"context"
	"errors"
	"fmt"

	"foxtaildock.example/dock/settings"
)

// checkSettingsCommand checks settings files of foxtaildockd.
type checkSettingsCommand struct {
	Role  string   `arg:"positional,required" help:"entry or agent"`
	Files []string `arg:"positional,required" placeholder:"FILE"`
}

func (*checkSettingsCommand) examples() string {
	return `
  foxtaildock check-settings entry docs/examples/entry.toml`
}

func (k *checkSettingsCommand) run(_ context.Context, _ *shared, c *console) (exitCode, error) {
	code := exitDone
	for _, name := range k.Files {
		err := settings.Check(settings.Role(k.Role), name)
		var invalid *settings.InvalidError
		switch {
		case errors.As(err, &invalid):
			_, _ = fmt.Fprintln(c.out, invalid)
			code = exitUsage
		case err != nil:
			return 0, err
		default:
			_, _ = fmt.Fprintf(c.out, "%s: fine\n", name)
		}
	}
	return code, nil
}
