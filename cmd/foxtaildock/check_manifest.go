package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strings"
	"unicode"

	"foxtaildock.example/dock/manifest"
	"foxtaildock.example/dock/platform"
)

// checkManifestCommand checks a manifest before it is sent to the platform's store.
type checkManifestCommand struct {
	File    string `arg:"positional,required" placeholder:"FILE" help:"the manifest, as JSON"`
	Against string `arg:"--against" placeholder:"FILE" help:"the version in force; show the differences"`
}

func (*checkManifestCommand) examples() string {
	return `
  foxtaildock check-manifest docs/examples/manifest.json
  foxtaildock check-manifest new.json --against current.json`
}

func (k *checkManifestCommand) run(_ context.Context, _ *shared, c *console) (exitCode, error) {
	m, invalid, err := readManifest(k.File)
	if err != nil {
		return 0, err
	}
	var inForce *manifest.Manifest
	if k.Against != "" {
		var inForceInvalid error
		if inForce, inForceInvalid, err = readInForce(k.Against); err != nil {
			return 0, err
		}
		printInvalid(c, k.Against, inForceInvalid)
	}
	printInvalid(c, k.File, invalid)
	if m == nil {
		return exitUsage, nil
	}
	findings := manifest.Check(m)
	var changes []manifest.Change
	if inForce != nil {
		var versions []manifest.Finding
		changes, versions = manifest.Compare(inForce, m)
		findings = append(findings, versions...)
	}
	code := printManifestCheck(c, k.File, findings, changes)
	if k.Against != "" && inForce == nil {
		code = exitUsage
	}
	return code, nil
}

// readManifest reads a manifest. invalid says why the text is none; err is the error of
// reading the file.
func readManifest(name string) (m *manifest.Manifest, invalid, err error) {
	text, err := os.ReadFile(name)
	if err != nil {
		return nil, nil, fmt.Errorf("manifest: %w", err)
	}
	m, invalid = platform.DecodeManifestFile(text)
	return m, invalid, nil
}

// readInForce reads the version in force. It is invalid if any field is: entries would not
// have taken it, and a comparison would show 0 for the field.
func readInForce(name string) (m *manifest.Manifest, invalid, err error) {
	m, invalid, err = readManifest(name)
	if m == nil {
		return nil, invalid, err
	}
	for i := range m.Decoding {
		if m.Decoding[i].Severity == manifest.Error {
			return nil, errors.New(findingText(&m.Decoding[i])), nil
		}
	}
	return m, nil, nil
}

func printInvalid(c *console, name string, invalid error) {
	if invalid != nil {
		printLine(c, fmt.Sprintf("error: %s is no valid manifest: %v", name, invalid))
	}
}

// printManifestCheck writes one line for each finding and change, and a summary.
func printManifestCheck(c *console, name string, findings []manifest.Finding, changes []manifest.Change) exitCode {
	for i := range findings {
		printLine(c, fmt.Sprintf("%s: %s", findings[i].Severity, findingText(&findings[i])))
	}
	for i := range changes {
		printLine(c, changeText(&changes[i]))
	}
	if len(findings)+len(changes) == 0 {
		printLine(c, name+": fine")
		return exitDone
	}
	wrong := manifest.Errors(findings)
	printLine(c, fmt.Sprintf("%s: errors %d, warnings %d, differences %d", name, wrong, len(findings)-wrong, len(changes)))
	if wrong > 0 {
		return exitUsage
	}
	return exitDone
}

// printLine writes one line. Unprintable characters, which names in a manifest may have,
// are replaced, since a terminal could take them for commands.
func printLine(c *console, line string) {
	line = strings.Map(func(r rune) rune {
		if !unicode.IsPrint(r) {
			return unicode.ReplacementChar
		}
		return r
	}, line)
	_, _ = fmt.Fprintln(c.out, line)
}

func findingText(f *manifest.Finding) string {
	return fmt.Sprintf("%s: found %s, want %s", where(f.Place, f.Field), f.Found, f.Want)
}

// where returns a place and a field of it, under its name in the file.
func where(p manifest.Place, f manifest.Field) string {
	if f == manifest.None {
		return p.String()
	}
	return fmt.Sprintf("%v: %s", p, platform.ManifestFieldName(f))
}

func changeText(change *manifest.Change) string {
	line := fmt.Sprintf("%s: %s", change.Difference, where(change.Place, change.Field))
	if change.Difference != manifest.Changed {
		return line
	}
	return fmt.Sprintf("%s: from %s to %s", line, orNothing(change.Old), orNothing(change.New))
}

func orNothing(text string) string {
	if text == "" {
		return "nothing"
	}
	return text
}
