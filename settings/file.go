package settings

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// file is a settings file that is being read. Each lookup of a field marks it as
// known; finish reports all others as unknown.
type file struct {
	fields      map[string]field // by section.key
	sections    map[string]int   // line of each section
	known       []string         // every section.key that was looked up
	listeners   []listener
	problems    []Problem
	invalidTOML bool // the text isn't valid TOML, so there are no fields
}

// field is one key and its value.
type field struct {
	line  int
	value value
}

// value is a TOML value.
type value struct {
	kind  unstable.Kind
	text  string
	items []value
}

// parseFile parses the text. A syntax error is the only problem that finish reports,
// since the rest of such a file can't be relied on.
func parseFile(text []byte) *file {
	f := &file{fields: map[string]field{}, sections: map[string]int{}}
	var whole any
	if err := toml.Unmarshal(text, &whole); err != nil {
		f.syntaxError(err)
		return f
	}
	f.walk(text)
	return f
}

func (f *file) syntaxError(err error) {
	f.invalidTOML = true
	line := 1
	var decode *toml.DecodeError
	if errors.As(err, &decode) {
		line, _ = decode.Position()
	}
	f.report(line, "", fmt.Sprintf("not valid TOML: %s", strings.TrimPrefix(err.Error(), "toml: ")))
}

// walk records each key with its line. The text must be valid TOML, so that the
// parser can't fail.
func (f *file) walk(text []byte) {
	p := unstable.Parser{}
	p.Reset(text)
	section := ""
	for p.NextExpression() {
		node := p.Expression()
		path, line := keyOf(&p, node)
		switch node.Kind {
		case unstable.Table:
			section = path
			f.sections[path] = line
		case unstable.ArrayTable:
			section = path
			f.report(line, path, "is an array of tables; write it as one section ["+path+"]")
		case unstable.KeyValue:
			f.fields[joinPath(section, path)] = field{line: line, value: valueOf(node.Value())}
		}
	}
}

// keyOf returns the dotted key of an expression and its line.
func keyOf(p *unstable.Parser, node *unstable.Node) (string, int) {
	var parts []string
	line := 0
	for it := node.Key(); it.Next(); {
		if line == 0 {
			line = p.Shape(it.Node().Raw).Start.Line
		}
		parts = append(parts, string(it.Node().Data))
	}
	return strings.Join(parts, "."), line
}

func joinPath(section, key string) string {
	if section == "" {
		return key
	}
	return section + "." + key
}

func valueOf(node *unstable.Node) value {
	v := value{kind: node.Kind, text: string(node.Data)}
	if node.Kind != unstable.Array {
		return v
	}
	for it := node.Children(); it.Next(); {
		v.items = append(v.items, valueOf(it.Node()))
	}
	return v
}

// find looks a field up and marks it as known.
func (f *file) find(section, key string) (field, bool) {
	path := joinPath(section, key)
	f.known = append(f.known, path)
	got, ok := f.fields[path]
	return got, ok
}

func (f *file) lineOf(section, key string) int {
	return f.fields[joinPath(section, key)].line
}

func (f *file) report(line int, field, message string) {
	f.problems = append(f.problems, Problem{Line: line, Field: field, Message: message})
}

// missing reports that a required field isn't in the file.
func (f *file) missing(section, key, example string) {
	f.report(f.sections[section], joinPath(section, key),
		fmt.Sprintf("is missing; add to section [%s]: %s = %q", section, key, example))
}

// finish reports unknown fields. It returns all problems as one *InvalidError, or nil
// if there are none.
func (f *file) finish(name string) error {
	if f.invalidTOML {
		// Every field was reported as missing after the syntax error.
		f.problems = f.problems[:1]
	} else {
		f.reportUnknown()
	}
	if len(f.problems) == 0 {
		return nil
	}
	slices.SortStableFunc(f.problems, compareProblems)
	return &InvalidError{Name: name, Problems: f.problems}
}

// compareProblems orders by line, then by field, with problems without a line last.
func compareProblems(a, b Problem) int {
	if (a.Line == 0) != (b.Line == 0) {
		return cmp.Compare(b.Line, a.Line)
	}
	return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Field, b.Field))
}
