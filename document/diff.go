package document

import "strings"

// Op says whether a line is common to both texts, added or removed.
type Op string

// The operations of a line difference.
const (
	Same   Op = " "
	Add    Op = "+"
	Remove Op = "-"
)

// Line is one line of a difference.
type Line struct {
	Op   Op     `json:"op"`
	Text string `json:"text"`
}

// Diff returns the line difference between two texts, including all common
// lines. It is based on a longest common subsequence. Common lines at both ends
// are taken off first to keep the table of the algorithm small; the limit on
// the size of sections and maxTableCells bound it.
func Diff(before, after string) []Line {
	a, b := lines(before), lines(after)
	head := commonPrefix(a, b)
	tail := commonSuffix(a[head:], b[head:])
	var out []Line
	out = appendLines(out, Same, a[:head])
	out = append(out, diffChanged(a[head:len(a)-tail], b[head:len(b)-tail])...)
	return appendLines(out, Same, a[len(a)-tail:])
}

// Changes returns the added and removed lines of a difference.
func Changes(ls []Line) []Line {
	var out []Line
	for _, l := range ls {
		if l.Op != Same {
			out = append(out, l)
		}
	}
	return out
}

// maxTableCells is the maximum number of cells in the table of diffChanged. If
// more are needed, the difference is shown as a replacement of all lines.
const maxTableCells = 4 << 20

// diffChanged returns the difference between two lists of lines without a
// common prefix or suffix.
func diffChanged(a, b []string) []Line {
	if len(a)*len(b) > maxTableCells {
		return appendLines(appendLines(nil, Remove, a), Add, b)
	}
	// length[i][j] is the length of the longest common subsequence of a[i:] and
	// b[j:].
	length := make([][]int32, len(a)+1)
	for i := range length {
		length[i] = make([]int32, len(b)+1)
	}
	for i := len(a) - 1; i >= 0; i-- {
		for j := len(b) - 1; j >= 0; j-- {
			if a[i] == b[j] {
				length[i][j] = length[i+1][j+1] + 1
			} else {
				length[i][j] = max(length[i+1][j], length[i][j+1])
			}
		}
	}
	return backtrack(a, b, length)
}

// backtrack reads the difference off the table of lengths.
func backtrack(a, b []string, length [][]int32) []Line {
	var out []Line
	i, j := 0, 0
	for i < len(a) && j < len(b) {
		switch {
		case a[i] == b[j]:
			out = append(out, Line{Same, a[i]})
			i++
			j++
		case length[i+1][j] >= length[i][j+1]:
			out = append(out, Line{Remove, a[i]})
			i++
		default:
			out = append(out, Line{Add, b[j]})
			j++
		}
	}
	out = appendLines(out, Remove, a[i:])
	return appendLines(out, Add, b[j:])
}

func lines(text string) []string {
	if text == "" {
		return nil
	}
	return strings.Split(strings.TrimSuffix(text, "\n"), "\n")
}

// commonPrefix returns the number of common lines at the beginning.
func commonPrefix(a, b []string) int {
	n := 0
	for n < len(a) && n < len(b) && a[n] == b[n] {
		n++
	}
	return n
}

// commonSuffix returns the number of common lines at the end.
func commonSuffix(a, b []string) int {
	n := 0
	for n < len(a) && n < len(b) && a[len(a)-1-n] == b[len(b)-1-n] {
		n++
	}
	return n
}

func appendLines(out []Line, op Op, ls []string) []Line {
	for _, l := range ls {
		out = append(out, Line{op, l})
	}
	return out
}
