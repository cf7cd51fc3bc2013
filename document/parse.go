package document

import (
	"errors"
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// Problem is one error in the text of a section.
type Problem struct {
	Section Name `json:"section"`
	// Line counts from 1; zero means the section as a whole.
	Line int `json:"line,omitempty"`
	// Field is the dotted name of the field, or empty if the problem is not in
	// one field.
	Field   string `json:"field,omitempty"`
	Message string `json:"message"`
}

// String formats the problem on one line.
func (p Problem) String() string {
	var b strings.Builder
	b.WriteString(string(p.Section))
	if p.Line > 0 {
		fmt.Fprintf(&b, ":%d", p.Line)
	}
	if p.Field != "" {
		fmt.Fprintf(&b, " %s", p.Field)
	}
	return b.String() + ": " + p.Message
}

// CheckError lists all problems of a change or a document.
type CheckError struct{ Problems []Problem }

// Error returns all problems, separated by semicolons.
func (e *CheckError) Error() string {
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		lines[i] = p.String()
	}
	return strings.Join(lines, "; ")
}

// parse decodes and checks the text of a section. Unknown fields are problems: a
// misspelled limit would otherwise silently mean no limit.
func parse(n Name, text string) (content, []Problem) {
	if err := n.Validate(); err != nil {
		return nil, []Problem{{Section: n, Message: err.Error()}}
	}
	if len(text) > MaxSectionBytes {
		return nil, []Problem{{Section: n, Message: fmt.Sprintf("text has %d bytes, more than %d", len(text), MaxSectionBytes)}}
	}
	c := newContent(n.Kind())
	dec := toml.NewDecoder(strings.NewReader(text)).DisallowUnknownFields()
	if err := dec.Decode(c); err != nil {
		return nil, decodeProblems(n, err)
	}
	ps := c.check(&checker{name: n, text: text})
	return c, ps
}

// decodeProblems converts the errors of the TOML library.
func decodeProblems(n Name, err error) []Problem {
	var missing *toml.StrictMissingError
	if errors.As(err, &missing) {
		var ps []Problem
		for i := range missing.Errors {
			e := &missing.Errors[i]
			ps = append(ps, decodeProblem(n, e, "there is no such field in "+string(n.Kind())+"/ sections"))
		}
		return ps
	}
	var one *toml.DecodeError
	if errors.As(err, &one) {
		return []Problem{decodeProblem(n, one, strings.TrimPrefix(one.Error(), "toml: "))}
	}
	return []Problem{{Section: n, Message: err.Error()}}
}

func decodeProblem(n Name, e *toml.DecodeError, message string) Problem {
	line, _ := e.Position()
	return Problem{Section: n, Line: line, Field: strings.Join(e.Key(), "."), Message: message}
}

// checker collects the problems of one parsed section and finds their lines.
type checker struct {
	name     Name
	text     string
	problems []Problem
}

// failIf adds a problem of the field if bad is true.
func (k *checker) failIf(bad bool, field, format string, args ...any) {
	if !bad {
		return
	}
	k.problems = append(k.problems, Problem{
		Section: k.name, Line: lineOf(k.text, field), Field: field, Message: fmt.Sprintf(format, args...),
	})
}

// lineOf returns the number of the first line that sets the field, or 0.
func lineOf(text, field string) int {
	key := field[strings.LastIndex(field, ".")+1:]
	for i, line := range strings.Split(text, "\n") {
		rest, ok := strings.CutPrefix(strings.TrimSpace(line), key)
		if ok && strings.HasPrefix(strings.TrimSpace(rest), "=") {
			return i + 1
		}
	}
	return 0
}
