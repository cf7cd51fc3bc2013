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

func historyKeyPrefix(n document.Name) string { return historyPrefix + string(n) + "@" }

// historyKey pads the version with zeros, so that keys sort by version.
func historyKey(n document.Name, v ident.DocVersion) string {
	return fmt.Sprintf("%s%020d", historyKeyPrefix(n), v)
}

func changeKey(id string) string { return changePrefix + id }

func intentKey(id string) string { return intentPrefix + id }

// headRow is the row that holds the current version of the document. Every
// accepted change raises it.
type headRow struct {
	Version ident.DocVersion `json:"version"`
}

// changeRow records an accepted change of the document, so that a caller that lost
// the answer can ask again with the same change id.
type changeRow struct {
	Section document.Name    `json:"section"`
	Version ident.DocVersion `json:"version"`
	By      string           `json:"by"`
}

// intentRow is the outcome of one announced commit. It is written by the commit
// itself or, with Cancelled set, by a process that stops waiting for the commit;
// the first write wins.
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

// decodeRow decodes the value of a row. An empty value gives the zero row.
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

// encodeRow returns the value of a row. It panics on an encoding error, which
// can't occur with the row types.
func encodeRow(row any) []byte {
	value, err := json.Marshal(row)
	if err != nil {
		panic(fmt.Sprintf("encode row of type %T: %v", row, err))
	}
	return value
}
