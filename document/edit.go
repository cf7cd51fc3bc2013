package document

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
)

// DomainText returns the text of a domain/ section with its state and reason
// replaced. All other lines are kept. If the text is empty, the result is the
// text of a new section that the operators team owns.
func DomainText(text string, state DomainState, reason string) string {
	if strings.TrimSpace(text) == "" {
		text = setField("", "owner", string(OperatorsTeam))
	}
	text = setField(text, "state", string(state))
	return setField(text, "reason", reason)
}

// DrainText returns the text of a new drain/ section that the operators team
// owns.
func DrainText(reason string) string {
	return setField(setField("", "owner", string(OperatorsTeam)), "reason", reason)
}

// setField replaces or adds a string field in a text without tables. The value is
// written as a JSON string, which is a valid TOML string.
func setField(text, field, value string) string {
	quoted, err := json.Marshal(value)
	if err != nil {
		quoted = []byte(`""`)
	}
	line := fmt.Sprintf("%s = %s", field, quoted)
	ls := lines(text)
	if n := lineOf(text, field); n > 0 {
		ls[n-1] = line
	} else {
		ls = slices.Concat(ls, []string{line})
	}
	return strings.Join(ls, "\n") + "\n"
}
