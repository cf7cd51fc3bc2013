package settings

import (
	"fmt"
	"strings"
)

// Problem is one error in a settings file.
type Problem struct {
	// Line is the line of the error, counted from 1, or 0 if the section of a
	// missing field isn't in the file either.
	Line int
	// Field is the field as section.key, or the section. It is empty for a syntax
	// error.
	Field string
	// Message says what was found and what is wanted.
	Message string
}

// String formats the problem as one line.
func (p Problem) String() string {
	where := "not in the file"
	if p.Line > 0 {
		where = fmt.Sprintf("line %d", p.Line)
	}
	if p.Field == "" {
		return fmt.Sprintf("%s: %s", where, p.Message)
	}
	return fmt.Sprintf("%s: %s: %s", where, p.Field, p.Message)
}

// InvalidError contains all problems of one settings file, in the order of the lines,
// with problems without a line last.
type InvalidError struct {
	// Name is the file name.
	Name     string
	Problems []Problem
}

// Error formats the problems, one per line.
func (e *InvalidError) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s: %d problem(s)", e.Name, len(e.Problems))
	for _, p := range e.Problems {
		b.WriteString("\n  ")
		b.WriteString(p.String())
	}
	return b.String()
}
