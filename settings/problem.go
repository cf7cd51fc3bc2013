package settings

import (
	"fmt"
	"strings"
)

// Problem is one thing that is wrong in a settings file.
type Problem struct {
	// Line is where it is wrong, from 1; 0 if something is missing altogether.
	Line int
	// Field is the offending field as section.key.
	Field string
	// Message says what is wrong and what would be right.
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

// InvalidError lists everything that is wrong in one settings file, in the order
// of the lines, with missing fields last.
type InvalidError struct {
	// Name is the name of the file.
	Name     string
	Problems []Problem
}

// Error formats the problems, one a line.
func (e *InvalidError) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s: %d problem(s)", e.Name, len(e.Problems))
	for _, p := range e.Problems {
		b.WriteString("\n  ")
		b.WriteString(p.String())
	}
	return b.String()
}
