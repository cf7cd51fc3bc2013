package main

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"os"
	"strings"

	"foxtaildock.example/dock/document"
	"foxtaildock.example/dock/ident"
)

// tokenFileMode is the permission of files with tokens: only the owner can read
// them.
const tokenFileMode = 0o600

// documentTokenCommand makes a token. It does not connect to an entry.
type documentTokenCommand struct {
	For       ident.Team    `arg:"positional" placeholder:"TEAM" help:"the team that the token is for"`
	ID        string        `arg:"positional" help:"a name for the token, unique within the team"`
	Role      document.Role `arg:"--role" default:"caller" help:"caller or operator"`
	Bootstrap bool          `arg:"--bootstrap" help:"make the bootstrap token, which may write the first section of an empty document"`
	Write     string        `arg:"--write" placeholder:"FILE" help:"write the token to a new file, and print only the text for the document or the settings"`
	Owner     ident.Team    `arg:"--owner" placeholder:"TEAM" help:"print the text of a whole new section owned by this team"`
}

func (*documentTokenCommand) examples() string {
	return `
  The token goes to the team, the entry into its section
  team/tills. The document keeps only a hash:
    foxtaildock document token tills shop-1
  The text of a whole new section, and the token in a file:
    foxtaildock document token tills shop-1 \
      --write shop-1.token --owner operators > team.toml
  For the settings of the entries of a new system:
    foxtaildock document token --bootstrap`
}

// newToken is a new token with the text for the document or the settings. It is
// the JSON output of the command.
type newToken struct {
	Token string `json:"token"`
	// Entry is the text for the team's section, with the hash of the token.
	// BootstrapSHA256 is the hash for the settings of the entries. One of them
	// is empty.
	Entry           string `json:"entry,omitempty"`
	BootstrapSHA256 string `json:"bootstrap_sha256,omitempty"`
}

func (d *documentTokenCommand) run(_ context.Context, _ *shared, c *console) (exitCode, error) {
	made, err := d.make()
	if err != nil {
		return 0, err
	}
	if d.Write != "" {
		return exitDone, d.writeToken(c, made)
	}
	if c.json {
		return exitDone, c.printJSON(made)
	}
	p := c.printer()
	p.Heading("token, shown only once")
	p.Raw(made.Token)
	p.Blank()
	if made.Entry != "" {
		p.Heading(fmt.Sprintf("for section team/%s", d.For))
		p.Raw(made.Entry)
		return exitDone, nil
	}
	p.Heading("for [operators] in the entries' settings")
	p.Raw(made.configText())
	return exitDone, nil
}

// configText returns the text with the hash of the token, for the document or
// the settings.
func (n *newToken) configText() string {
	if n.Entry != "" {
		return n.Entry
	}
	return fmt.Sprintf("bootstrap_sha256 = %q", n.BootstrapSHA256)
}

// writeToken writes the token to a new file that only its owner can read.
func (d *documentTokenCommand) writeToken(c *console, made *newToken) error {
	f, err := os.OpenFile(d.Write, os.O_WRONLY|os.O_CREATE|os.O_EXCL, tokenFileMode)
	if err != nil {
		return fmt.Errorf("writing the token: %w", err)
	}
	_, err = fmt.Fprintln(f, made.Token)
	if err := errors.Join(err, f.Close()); err != nil {
		return fmt.Errorf("writing the token: %w", err)
	}
	c.printer().Raw(made.configText())
	return nil
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
	return &newToken{Token: token, Entry: d.ownerLine() + formatTokenEntry(&entry)}, nil
}

func (d *documentTokenCommand) ownerLine() string {
	if d.Owner == "" {
		return ""
	}
	return fmt.Sprintf("owner = %q\n\n", d.Owner)
}

func formatTokenEntry(e *document.TokenEntry) string {
	return fmt.Sprintf("[[tokens]]\nid = %q\nrole = %q\nsalt = %q\nsha256 = %q", e.ID, e.Role, e.Salt, e.SHA256)
}
