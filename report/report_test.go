package report

import (
	"bytes"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"strconv"
	"strings"
	"testing"
	"unicode/utf8"

	"foxtaildock.example/dock/job"
)

func TestLinesFitThePrinterWidth(t *testing.T) {
	long := strings.Repeat("wide ", 30) + strings.Repeat("x", 100)
	for _, width := range []int{1, 40, 44, 48, 200} {
		var out bytes.Buffer
		p := NewPrinter(&out, width, false)
		p.Heading(long)
		p.Text(long)
		p.Detail(long)
		p.TextStyled(Bad, long)
		p.Pair(long, long)
		table := Table{Columns: []Column{{Title: "failure domain"}, {Title: "reason"}, {Title: "jobs", Right: true}}}
		table.Add("luleå-north-of-the-river", long, "1000000")
		p.Table(&table)
		for line := range strings.Lines(out.String()) {
			if n := utf8.RuneCountInString(strings.TrimSuffix(line, "\n")); n > min(max(width, minWidth), maxWidth) {
				t.Errorf("width %d: line has %d columns, more than the printer allows: %s", width, n, line)
			}
		}
		if !strings.Contains(out.String(), "1000000") {
			t.Errorf("width %d: the number 1000000 was shortened", width)
		}
	}
}

func TestKeepColumnsAreShortenedLast(t *testing.T) {
	var out bytes.Buffer
	table := Table{Columns: []Column{{Title: "process", Keep: true}, {Title: "domain"}}}
	table.Add("127.0.0.1:19012", strings.Repeat("domain", 10))
	NewPrinter(&out, 40, false).Table(&table)
	if !strings.Contains(out.String(), "127.0.0.1:19012 domaindo") {
		t.Error(out.String())
	}
}

func TestWrapKeepsAllText(t *testing.T) {
	text := "a bc " + strings.Repeat("é", 95) + " d"
	joined := strings.ReplaceAll(strings.Join(wrap(text, 40), ""), " ", "")
	if joined != strings.ReplaceAll(text, " ", "") {
		t.Errorf("wrapped lines joined are %q, want the whole text", joined)
	}
}

func TestColourIsOptional(t *testing.T) {
	var plain, coloured bytes.Buffer
	NewPrinter(&plain, 0, false).TextStyled(Good, "done")
	NewPrinter(&coloured, 0, true).TextStyled(Good, "done")
	if plain.String() != "done\n" || !strings.Contains(coloured.String(), "\x1b[32mdone") {
		t.Errorf("plain %q, want no escape sequence; coloured %q, want one", &plain, &coloured)
	}
	noColour := func(name string) string { return map[string]string{"NO_COLOR": "1"}[name] }
	if WantColour(os.Stdout, noColour) {
		t.Error("colour is wanted although NO_COLOR is set")
	}
}

func TestProgressClearsItsLine(t *testing.T) {
	var out bytes.Buffer
	p := NewProgress(&out, true, "jobs", 2)
	p.lastWrite = p.lastWrite.Add(-terminalInterval)
	p.Done(false)
	p.End()
	if !strings.Contains(out.String(), "1/2 jobs, 1 unsuccessful") || !strings.HasSuffix(out.String(), "\r") {
		t.Errorf("output %q, want 1/2 jobs, 1 unsuccessful and a cleared line", &out)
	}
}

// TestEveryReasonIsExplained checks that each reason in package job has an
// explanation and is listed in docs/OPERATIONS.md.
func TestEveryReasonIsExplained(t *testing.T) {
	reasons := reasonsOfPackageJob(t)
	if len(reasons) != len(explanations) {
		t.Errorf("package job has %d reasons, %d are explained", len(reasons), len(explanations))
	}
	page, err := os.ReadFile("../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, r := range reasons {
		if Explain(r).Remedy == "" {
			t.Errorf("%s is not explained", r)
		}
		if !strings.Contains(string(page), "`"+string(r)+"`") {
			t.Errorf("docs/OPERATIONS.md lacks %s", r)
		}
	}
}

// reasonsOfPackageJob returns the values of the Reason constants in job/job.go.
func reasonsOfPackageJob(t *testing.T) []job.Reason {
	t.Helper()
	file, err := parser.ParseFile(token.NewFileSet(), "../job/job.go", nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	var reasons []job.Reason
	ast.Inspect(file, func(n ast.Node) bool {
		spec, ok := n.(*ast.ValueSpec)
		if !ok || len(spec.Values) != 1 || !strings.HasPrefix(spec.Names[0].Name, "Reason") {
			return true
		}
		text, err := strconv.Unquote(spec.Values[0].(*ast.BasicLit).Value)
		if err != nil {
			t.Fatal(err)
		}
		reasons = append(reasons, job.Reason(text))
		return true
	})
	return reasons
}
