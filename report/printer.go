// Package report writes tables and short reports that are read on a phone. No
// line is wider than the printer's width, and colour only repeats what the words
// say.
package report

import (
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"unicode/utf8"
)

// Widths of a report, in columns.
const (
	// DefaultWidth fits a phone that is held upright.
	DefaultWidth = 44
	minWidth     = 32
	maxWidth     = 48
)

// Style is how a word stands out.
type Style int

// The styles.
const (
	Plain Style = iota
	Good
	Warn
	Bad
	Faint
	Bold
)

// escapes are the terminal's codes of the styles.
var escapes = [...]string{Plain: "", Good: "\x1b[32m", Warn: "\x1b[33m", Bad: "\x1b[31m", Faint: "\x1b[2m", Bold: "\x1b[1m"}

const escapeEnd = "\x1b[0m"

// Printer writes reports. It is not safe for several goroutines.
type Printer struct {
	w      io.Writer
	width  int
	colour bool
}

// NewPrinter returns a printer. Colour is used only if asked for; see
// WantColour. A width of 0 means DefaultWidth.
func NewPrinter(w io.Writer, width int, colour bool) *Printer {
	if width == 0 {
		width = DefaultWidth
	}
	return &Printer{w: w, width: min(max(width, minWidth), maxWidth), colour: colour}
}

// WantColour reports whether a file is a terminal whose user did not set
// NO_COLOR.
func WantColour(f *os.File, getenv func(string) string) bool {
	if getenv("NO_COLOR") != "" || getenv("TERM") == "dumb" {
		return false
	}
	info, err := f.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}

// WidthFrom reads the width of the terminal from COLUMNS, if it is set.
func WidthFrom(getenv func(string) string) int {
	n, err := strconv.Atoi(getenv("COLUMNS"))
	if err != nil || n <= 0 {
		return DefaultWidth
	}
	return n
}

// Heading starts a part of a report.
func (p *Printer) Heading(text string) {
	p.writeLine(p.styled(Bold, cut(text, p.width)))
}

// Blank writes an empty line.
func (p *Printer) Blank() { p.writeLine("") }

// Text writes a paragraph, wrapped at words.
func (p *Printer) Text(text string) {
	for _, line := range wrap(text, p.width) {
		p.writeLine(line)
	}
}

// detailIndent is the space before the lines of Detail.
const detailIndent = "  "

// Detail writes a paragraph that belongs to the line above it.
func (p *Printer) Detail(text string) {
	for _, line := range wrap(text, p.width-len(detailIndent)) {
		p.writeLine(detailIndent + line)
	}
}

// Verdict writes one line that says how something ended.
func (p *Printer) Verdict(s Style, text string) {
	for _, line := range wrap(text, p.width) {
		p.writeLine(p.styled(s, line))
	}
}

// labelWidth is the width of the labels of Pair, in columns.
const labelWidth = 10

// Pair writes a label and a value, which is wrapped beside the label.
func (p *Printer) Pair(label, value string) {
	prefix := pad(cut(label, labelWidth-1), labelWidth)
	for i, line := range wrap(value, p.width-labelWidth) {
		if i > 0 {
			prefix = strings.Repeat(" ", labelWidth)
		}
		p.writeLine(p.styled(Faint, prefix) + line)
	}
}

// Raw writes text that must not be changed, such as a result or a diff.
func (p *Printer) Raw(text string) {
	p.writeLine(strings.TrimSuffix(text, "\n"))
}

// RawStyled writes one unchanged line in a style.
func (p *Printer) RawStyled(s Style, line string) { p.writeLine(p.styled(s, line)) }

func (p *Printer) styled(s Style, text string) string {
	if !p.colour || s == Plain {
		return text
	}
	return escapes[s] + text + escapeEnd
}

// writeLine writes one line. Errors of the terminal are left aside, as with any
// command whose output is closed early.
func (p *Printer) writeLine(line string) {
	_, _ = fmt.Fprintln(p.w, strings.TrimRight(line, " "))
}

// wrap breaks text into lines at spaces; a word that is too long is broken.
func wrap(text string, width int) []string {
	var lines []string
	line := ""
	for word := range strings.FieldsSeq(text) {
		for {
			joined := word
			if line != "" {
				joined = line + " " + word
			}
			if utf8.RuneCountInString(joined) <= width {
				line = joined
				break
			}
			if line != "" {
				lines = append(lines, line)
				line = ""
				continue
			}
			head, rest := splitRunes(word, width)
			lines = append(lines, head)
			word = rest
		}
	}
	if line != "" || len(lines) == 0 {
		lines = append(lines, line)
	}
	return lines
}

func splitRunes(s string, n int) (string, string) {
	r := []rune(s)
	return string(r[:n]), string(r[n:])
}

// cut shortens text to a width and marks that it did.
func cut(text string, width int) string {
	if utf8.RuneCountInString(text) <= width {
		return text
	}
	if width <= 1 {
		return strings.Repeat("…", max(width, 0))
	}
	head, _ := splitRunes(text, width-1)
	return head + "…"
}

// pad fills text up to a width with spaces on the right.
func pad(text string, width int) string {
	return text + strings.Repeat(" ", max(width-utf8.RuneCountInString(text), 0))
}

// padLeft fills text up to a width with spaces on the left.
func padLeft(text string, width int) string {
	return strings.Repeat(" ", max(width-utf8.RuneCountInString(text), 0)) + text
}
