package control

import (
	"encoding/json"
	"fmt"

	"foxtaildock.example/dock/document"
	"foxtaildock.example/dock/ident"
	"foxtaildock.example/dock/permit"
)

// Keys of the rows that this package writes. docs/design/document.md lists them.
const (
	headKey       = "document/head"
	sectionPrefix = "document/section/"
	historyPrefix = "document/history/"
	changePrefix  = "change/"
	intentPrefix  = "intent/"
)

func sectionKey(n document.Name) string { return sectionPrefix + string(n) }

func historyDir(n document.Name) string { return historyPrefix + string(n) + "@" }

// historyKey sorts by version.
func historyKey(n document.Name, v ident.DocVersion) string {
	return fmt.Sprintf("%s%020d", historyDir(n), v)
}

func changeKey(id string) string { return changePrefix + id }

func intentKey(id string) string { return intentPrefix + id }

// headRow counts the accepted changes of the document.
type headRow struct {
	Version ident.DocVersion `json:"version"`
}

// changeRow says what became of a change of the document, for whoever lost the
// answer.
type changeRow struct {
	Section document.Name    `json:"section"`
	Version ident.DocVersion `json:"version"`
	By      string           `json:"by"`
}

// intentRow settles one announced commit. It is written by the commit itself, or
// with Cancelled by whoever gives up waiting for it; the first one wins.
type intentRow struct {
	Cancelled bool             `json:"cancelled,omitempty"`
	Version   ident.DocVersion `json:"version,omitempty"`
	Epoch     ident.Epoch      `json:"epoch,omitempty"`
}

// state returns the state after the commit, zero if it was cancelled.
func (r intentRow) state() permit.State {
	if r.Cancelled {
		return permit.State{}
	}
	return permit.State{Version: r.Version, Epoch: r.Epoch}
}

// decodeRow reads the value of a row; an empty value leaves the zero.
func decodeRow[T any](key string, value []byte) (T, error) {
	var row T
	if len(value) == 0 {
		return row, nil
	}
	if err := json.Unmarshal(value, &row); err != nil {
		return row, fmt.Errorf("row %q: %w", key, err)
	}
	return row, nil
}

// encodeRow returns the value of a row. The row types always encode.
func encodeRow(row any) []byte {
	value, err := json.Marshal(row)
	if err != nil {
		panic(fmt.Sprintf("row of type %T does not encode: %v", row, err))
	}
	return value
}
