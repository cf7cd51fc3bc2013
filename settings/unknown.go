package settings

import (
	"fmt"
	"slices"
	"strings"
)

// maxSuggestionDistance is the largest edit distance at which a known key is
// suggested for an unknown one.
const maxSuggestionDistance = 3

// reportUnknown reports each field and section of the file that wasn't looked up.
func (f *file) reportUnknown() {
	for path, got := range f.fields {
		if !slices.Contains(f.known, path) {
			f.report(got.line, path, "is unknown"+f.suggestion(path))
		}
	}
	for section, line := range f.sections {
		if !slices.Contains(f.knownSections(), section) {
			f.report(line, section, fmt.Sprintf("section [%s] is unknown; the sections are %s",
				section, strings.Join(f.knownSections(), ", ")))
		}
	}
}

func (f *file) knownSections() []string {
	var names []string
	for _, path := range f.known {
		section, _, _ := strings.Cut(path, ".")
		if !slices.Contains(names, section) {
			names = append(names, section)
		}
	}
	return names
}

// suggestion names the known field that is most similar to an unknown one. If none is
// similar it names another section with the same key, or the keys of the section.
func (f *file) suggestion(path string) string {
	best, distance := "", maxSuggestionDistance+1
	for _, known := range f.known {
		if d := editDistance(path, known); d < distance {
			best, distance = known, d
		}
	}
	if best != "" {
		return fmt.Sprintf("; did you mean %s?", best)
	}
	return f.suggestFromSections(path)
}

// suggestFromSections names a section that has the same key, or else the keys of the
// section of path.
func (f *file) suggestFromSections(path string) string {
	section, key, _ := strings.Cut(path, ".")
	var same []string
	for _, known := range f.known {
		knownSection, knownKey, _ := strings.Cut(known, ".")
		if knownKey == key || knownKey == path {
			return fmt.Sprintf("; %s belongs to section [%s]", knownKey, knownSection)
		}
		if knownSection == section {
			same = append(same, knownKey)
		}
	}
	if len(same) == 0 {
		return ""
	}
	return fmt.Sprintf("; section [%s] has %s", section, strings.Join(same, ", "))
}

// editDistance returns the Levenshtein distance between two strings, in bytes.
func editDistance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			cost := 1
			if a[i] == b[j] {
				cost = 0
			}
			next := min(row[j+1]+1, row[j]+1, diagonal+cost)
			diagonal = row[j+1]
			row[j+1] = next
		}
	}
	return row[len(b)]
}
