// Package report formats tables, short reports and progress lines for a
// terminal. Operators also read them on a phone, so no line that is wrapped or
// laid out in a table is wider than the printer's width. Colour only repeats
// what the text says. The package also counts the outcomes of jobs for the
// short report (Tally) and explains their reasons (Explain).
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
	// DefaultWidth fits the screen of a phone that is held upright.
	DefaultWidth = 44
	minWidth     = 32
	maxWidth     = 48
)

// Style is how text is highlighted if colour is on.
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

// escapes are the ANSI escape sequences that start the styles.
var escapes = [...]string{Plain: "", Good: "\x1b[32m", Warn: "\x1b[33m", Bad: "\x1b[31m", Faint: "\x1b[2m", Bold: "\x1b[1m"}

// escapeReset ends any style.
const escapeReset = "\x1b[0m"

// Printer writes reports. It is not safe for concurrent use.
type Printer struct {
	w      io.Writer
	width  int
	colour bool
}

// NewPrinter returns a printer that writes to w. width is in columns. 0 means
// DefaultWidth; other values are limited to the range from minWidth to maxWidth.
// Colour is used only if colour is true; see WantColour.
func NewPrinter(w io.Writer, width int, colour bool) *Printer {
	if width == 0 {
		width = DefaultWidth
	}
	return &Printer{w: w, width: min(max(width, minWidth), maxWidth), colour: colour}
}

// WantColour reports whether colour may be written to a file: the file is a
// terminal, NO_COLOR is not set and TERM is not "dumb".
func WantColour(f *os.File, getenv func(string) string) bool {
	if getenv("NO_COLOR") != "" || getenv("TERM") == "dumb" {
		return false
	}
	info, err := f.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}

// WidthFrom returns the width of the terminal from COLUMNS, or DefaultWidth if
// it is not set or not a positive number.
func WidthFrom(getenv func(string) string) int {
	n, err := strconv.Atoi(getenv("COLUMNS"))
	if err != nil || n <= 0 {
		return DefaultWidth
	}
	return n
}

// Heading writes the title of a part of a report, shortened to one line.
func (p *Printer) Heading(text string) {
	p.writeLine(p.styled(Bold, truncate(text, p.width)))
}

// Blank writes an empty line.
func (p *Printer) Blank() { p.writeLine("") }

// Text writes a paragraph, wrapped between words.
func (p *Printer) Text(text string) {
	for _, line := range wrap(text, p.width) {
		p.writeLine(line)
	}
}

// detailIndent is the indentation of the lines of Detail.
const detailIndent = "  "

// Detail writes an indented paragraph that belongs to the line above it.
func (p *Printer) Detail(text string) {
	for _, line := range wrap(text, p.width-len(detailIndent)) {
		p.writeLine(detailIndent + line)
	}
}

// TextStyled writes a wrapped sentence in a style: an outcome, a state or a
// warning.
func (p *Printer) TextStyled(s Style, text string) {
	for _, line := range wrap(text, p.width) {
		p.writeLine(p.styled(s, line))
	}
}

// labelWidth is the width of the labels of LabelledValue, in columns.
const labelWidth = 10

// LabelledValue writes a label and a value. The label is shortened to fit into
// labelWidth, and the value is wrapped to the right of it.
func (p *Printer) LabelledValue(label, value string) {
	prefix := pad(truncate(label, labelWidth-1), labelWidth)
	for i, line := range wrap(value, p.width-labelWidth) {
		if i > 0 {
			prefix = strings.Repeat(" ", labelWidth)
		}
		p.writeLine(p.styled(Faint, prefix) + line)
	}
}

// Raw writes text without wrapping or shortening it, such as a section or a
// token.
func (p *Printer) Raw(text string) {
	p.writeLine(strings.TrimSuffix(text, "\n"))
}

// RawStyled writes one line in a style, without wrapping or shortening it.
func (p *Printer) RawStyled(s Style, line string) { p.writeLine(p.styled(s, line)) }

func (p *Printer) styled(s Style, text string) string {
	if !p.colour || s == Plain {
		return text
	}
	return escapes[s] + text + escapeReset
}

// writeLine writes one line. Write errors are ignored, since the reader may
// close the output early.
func (p *Printer) writeLine(line string) {
	_, _ = fmt.Fprintln(p.w, strings.TrimRight(line, " "))
}

// wrap breaks text into lines at spaces. A word that is wider than a line is
// split.
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

// truncate shortens text to a width. Shortened text ends with an ellipsis.
func truncate(text string, width int) string {
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
