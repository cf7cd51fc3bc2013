package main

import (
	"context"
	"crypto/rand"
	"fmt"
	"strings"

	"foxtaildock.example/dock/document"
	"foxtaildock.example/dock/ident"
)

// documentTokenCommand makes a token. It needs no connection.
type documentTokenCommand struct {
	For       ident.Team    `arg:"positional" placeholder:"TEAM" help:"the team of the token"`
	ID        string        `arg:"positional" help:"a name that tells the team's tokens apart"`
	Role      document.Role `arg:"--role" default:"caller" help:"caller or operator"`
	Bootstrap bool          `arg:"--bootstrap" help:"make the token that may write the first section of an empty document"`
}

func (*documentTokenCommand) examples() string {
	return `
  The token goes to the team, the entry into its section
  team/tills. The document keeps only a hash:
    foxtaildock document token tills shop-1
  For the settings of the entries of a new system:
    foxtaildock document token --bootstrap`
}

// newToken is what the command prints for a program.
type newToken struct {
	Token string `json:"token"`
	// Entry is for the team's section, BootstrapSHA256 for the settings.
	Entry           string `json:"entry,omitempty"`
	BootstrapSHA256 string `json:"bootstrap_sha256,omitempty"`
}

func (d *documentTokenCommand) run(_ context.Context, _ *shared, c *console) (exitCode, error) {
	made, err := d.make()
	if err != nil {
		return 0, err
	}
	if c.json {
		return exitDone, c.printJSON(made)
	}
	p := c.printer()
	p.Heading("token, shown only now")
	p.Raw(made.Token)
	p.Blank()
	if made.Entry != "" {
		p.Heading(fmt.Sprintf("for section team/%s", d.For))
		p.Raw(made.Entry)
		return exitDone, nil
	}
	p.Heading("for [operators] in the entries' settings")
	p.Raw(fmt.Sprintf("bootstrap_sha256 = %q", made.BootstrapSHA256))
	return exitDone, nil
}

func (d *documentTokenCommand) make() (*newToken, error) {
	if d.Bootstrap {
		token := strings.ToLower(rand.Text() + rand.Text())
		return &newToken{Token: token, BootstrapSHA256: document.HashBootstrap(token)}, nil
	}
	if d.For == "" || d.ID == "" {
		return nil, &usageError{"give the team and an id, or --bootstrap"}
	}
	if d.Role != document.RoleCaller && d.Role != document.RoleOperator {
		return nil, &usageError{fmt.Sprintf("--role is caller or operator, not %q", d.Role)}
	}
	token, entry, err := document.NewToken(rand.Reader, d.For, d.ID, d.Role)
	if err != nil {
		return nil, &usageError{err.Error()}
	}
	return &newToken{Token: token, Entry: formatTokenEntry(&entry)}, nil
}

func formatTokenEntry(e *document.TokenEntry) string {
	return fmt.Sprintf("[[tokens]]\nid = %q\nrole = %q\nsalt = %q\nsha256 = %q", e.ID, e.Role, e.Salt, e.SHA256)
}
