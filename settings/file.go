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

// file is one settings file while it is read. Each read of a field marks it as
// known; finish reports the rest as unknown.
type file struct {
	fields    map[string]field // by section.key
	sections  map[string]int   // line of each section
	known     []string         // every section.key that was asked for
	listeners []listener
	problems  []Problem
	broken    bool // the text isn't TOML, so nothing was read
}

// field is one key and its value.
type field struct {
	line  int
	value value
}

// value is a TOML value with its place in the file.
type value struct {
	kind  unstable.Kind
	text  string
	items []value
}

// parseFile reads the text into fields. A syntax error is the only problem that
// is then reported, since the rest of the file can't be trusted.
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
	f.broken = true
	line := 1
	var decode *toml.DecodeError
	if errors.As(err, &decode) {
		line, _ = decode.Position()
	}
	f.report(line, "", fmt.Sprintf("not valid TOML: %s", strings.TrimPrefix(err.Error(), "toml: ")))
}

// walk records each key with its line. The text was parsed before, so the parser
// doesn't fail here.
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
			f.report(line, path, "is a list of tables; write it as one section ["+path+"]")
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

// find returns a field and marks it as known.
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

// missing reports a field that has no default.
func (f *file) missing(section, key, example string) {
	f.report(f.sections[section], joinPath(section, key),
		fmt.Sprintf("is missing; add to section [%s]: %s = %q", section, key, example))
}

// finish reports unknown fields and returns all problems as one error.
func (f *file) finish(name string) error {
	if f.broken {
		// Every field looks missing then; the syntax error is the cause.
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

// compareProblems sorts by line, with problems without a line last.
func compareProblems(a, b Problem) int {
	if (a.Line == 0) != (b.Line == 0) {
		return cmp.Compare(b.Line, a.Line)
	}
	return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Field, b.Field))
}
