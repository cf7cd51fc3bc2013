package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"strings"

	"foxtaildock.example/dock/api"
	"foxtaildock.example/dock/document"
	"foxtaildock.example/dock/ident"
)

// headerFormat is the format of the first line that document show writes. It
// records the version that a later change of the text is made from.
const headerFormat = "# foxtaildock section %s version %d"

func sectionHeader(s *document.Section) string { return fmt.Sprintf(headerFormat, s.Name, s.Version) }

// sectionFile contains the arguments that name a section and a file with its new
// text.
type sectionFile struct {
	Section document.Name     `arg:"positional,required" help:"such as limits/tills"`
	File    string            `arg:"positional,required" placeholder:"FILE" help:"the new text; - is standard input"`
	Expect  *ident.DocVersion `arg:"--expect" placeholder:"VERSION" help:"the version that the text was made from, 0 for a new section; without it the version in the file's first line"`
}

// text returns the new text and the version that it was made from. It returns a
// *usageError if neither --expect nor the first line of the file has the version.
func (f *sectionFile) text(c *console) (string, *ident.DocVersion, error) {
	raw, err := f.read(c)
	if err != nil {
		return "", nil, fmt.Errorf("reading the section: %w", err)
	}
	text, version, err := splitHeader(f.Section, string(raw))
	if err != nil {
		return "", nil, err
	}
	if f.Expect != nil {
		version = f.Expect
	}
	if version == nil {
		return "", nil, &usageError{"the version that the text was made from is missing; start from the output of document show, or give --expect (0 for a new section)"}
	}
	return text, version, nil
}

func (f *sectionFile) read(c *console) ([]byte, error) {
	if f.File == "-" {
		return io.ReadAll(c.in)
	}
	return os.ReadFile(f.File)
}

// splitHeader removes the first line if document show wrote it, and returns the
// rest and the version in that line. Without such a line the version is nil.
func splitHeader(section document.Name, text string) (string, *ident.DocVersion, error) {
	first, rest, _ := strings.Cut(text, "\n")
	var name string
	var version ident.DocVersion
	if n, _ := fmt.Sscanf(first, headerFormat, &name, &version); n != 2 {
		return text, nil, nil
	}
	if name != string(section) {
		return "", nil, &usageError{fmt.Sprintf("the file contains section %s, not %s", name, section)}
	}
	return rest, &version, nil
}

// check asks an entry whether the change would be accepted.
func (f *sectionFile) check(ctx context.Context, s *shared, c *console) (*api.CheckAnswer, error) {
	client, err := s.operators(c)
	if err != nil {
		return nil, err
	}
	text, version, err := f.text(c)
	if err != nil {
		return nil, err
	}
	request := (&changeOptions{}).request()
	request.Text, request.Expect = text, version
	return client.Check(ctx, f.Section, request)
}

// documentApplyCommand changes or creates a section.
type documentApplyCommand struct {
	sectionFile
	changeOptions
}

func (*documentApplyCommand) examples() string {
	return `
  foxtaildock document apply limits/tills limits.toml \
    --reason 'more tills in summer'
  A new section:
    foxtaildock document apply service/quotes quotes.toml \
      --expect 0
  After a lost answer, with the id that was printed:
    foxtaildock document apply limits/tills limits.toml \
      --change-id 1767225600000-4f2a`
}

func (d *documentApplyCommand) run(ctx context.Context, s *shared, c *console) (exitCode, error) {
	client, err := s.operators(c)
	if err != nil {
		return 0, err
	}
	text, version, err := d.text(c)
	if err != nil {
		return 0, err
	}
	request := d.request()
	request.Text, request.Expect = text, version
	answer, err := client.Apply(ctx, d.Section, request)
	return d.finishChange(ctx, c, client, request.ChangeID, answer, err)
}

// documentDeleteCommand removes a section.
type documentDeleteCommand struct {
	Section document.Name    `arg:"positional,required" help:"such as service/quotes"`
	Expect  ident.DocVersion `arg:"--expect,required" placeholder:"VERSION" help:"the current version of the section, from document show"`
	changeOptions
}

func (*documentDeleteCommand) examples() string {
	return `
  foxtaildock document delete service/quotes --expect 17 \
    --reason 'no longer offered'`
}

func (d *documentDeleteCommand) run(ctx context.Context, s *shared, c *console) (exitCode, error) {
	client, err := s.operators(c)
	if err != nil {
		return 0, err
	}
	request := d.request()
	request.Expect = &d.Expect
	answer, err := client.Delete(ctx, d.Section, request)
	return d.finishChange(ctx, c, client, request.ChangeID, answer, err)
}
