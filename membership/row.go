package membership

import (
	"encoding/json"
	"fmt"

	"foxtaildock.example/dock/ident"
	"foxtaildock.example/dock/placement"
)

// PlacementKey returns the key of the placement row of a cell.
func PlacementKey(cell string) string { return "placement/" + cell }

// EntryKey returns the key of the row by which an entry is found.
func EntryKey(cell string, id ident.Incarnation) string { return EntryPrefix(cell) + string(id) }

// EntryPrefix returns the common key prefix of the entry rows of a cell.
func EntryPrefix(cell string) string { return "entries/" + cell + "/" }

// placementRow is the stored form of a placement.
type placementRow struct {
	Epoch   ident.Epoch        `json:"epoch"`
	Members []placement.Member `json:"members"`
}

// EncodePlacement returns the value of the placement row.
func EncodePlacement(p *placement.Placement) ([]byte, error) {
	return json.Marshal(placementRow{Epoch: p.Epoch, Members: p.Members})
}

// DecodePlacement decodes the value of the placement row. An empty value gives the
// placement before the first epoch. It returns an error if the value is not valid
// JSON, a member is unnamed or listed twice, or a member's epochs are out of range.
func DecodePlacement(value []byte) (*placement.Placement, error) {
	if len(value) == 0 {
		return placement.New(0, nil), nil
	}
	var row placementRow
	if err := json.Unmarshal(value, &row); err != nil {
		return nil, fmt.Errorf("placement row: %w", err)
	}
	seen := make(map[ident.Incarnation]bool, len(row.Members))
	for i := range row.Members {
		m := &row.Members[i]
		if m.Incarnation == "" || seen[m.Incarnation] {
			return nil, fmt.Errorf("placement row: member %d is unnamed or listed twice", i)
		}
		if m.Joined == 0 || m.Joined > row.Epoch || m.Left > row.Epoch {
			return nil, fmt.Errorf("placement row: member %q has epochs beyond %d", m.Incarnation, row.Epoch)
		}
		seen[m.Incarnation] = true
	}
	return placement.New(row.Epoch, row.Members), nil
}

// EntryRow is the row that an entry keeps in the table, so that agents and other
// entries find it.
type EntryRow struct {
	Incarnation ident.Incarnation   `json:"incarnation"`
	Address     string              `json:"address"`
	Domain      ident.FailureDomain `json:"domain"`
	// RenewedUnix is the wall-clock second of the newest renewal. Rows that
	// have not been renewed for EntryRowExpiry are deleted by any entry.
	RenewedUnix int64 `json:"renewed_unix"`
}

// Times of entry rows. Each renewal costs one write, so the interval is long.
const (
	// EntryRowRenewal is the renewal interval in seconds.
	EntryRowRenewal = 20
	// EntryRowExpiry is the age in seconds after which a row is deleted. It is
	// longer than several renewal intervals plus the skew of wall clocks.
	EntryRowExpiry = 180
)

// EncodeEntry returns the value of an entry row.
func EncodeEntry(r EntryRow) ([]byte, error) { return json.Marshal(r) }

// DecodeEntry decodes the value of an entry row. It returns an error if the value
// is not valid JSON.
func DecodeEntry(value []byte) (EntryRow, error) {
	var r EntryRow
	if err := json.Unmarshal(value, &r); err != nil {
		return EntryRow{}, fmt.Errorf("entry row: %w", err)
	}
	return r, nil
}
