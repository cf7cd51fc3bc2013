package control

import (
	"context"
	"fmt"

	"foxtaildock.example/dock/document"
	"foxtaildock.example/dock/ident"
	"foxtaildock.example/dock/membership"
	"foxtaildock.example/dock/permit"
	"foxtaildock.example/dock/placement"
	"foxtaildock.example/dock/store"
)

// scanPage is the number of rows of one page of a scan.
const scanPage = 500

// snapshot is one committed state of document and placement with its content.
type snapshot struct {
	document  *document.Document
	view      *document.View
	placement *placement.Placement
	// headRowVersion and placementRowVersion are the table's versions of the
	// two rows, for compare-and-set. If the snapshot came from another entry,
	// they are zero and fromTable is false; it can't be the base of a commit.
	headRowVersion, placementRowVersion uint64
	fromTable                           bool
}

// state returns the document version and the epoch of the snapshot.
func (s *snapshot) state() permit.State {
	return permit.State{Version: s.document.Version, Epoch: s.placement.Epoch}
}

// members returns the incarnations that acknowledge changes of the snapshot.
func (s *snapshot) members() []ident.Incarnation {
	current := s.placement.Current()
	ids := make([]ident.Incarnation, len(current))
	for i := range current {
		ids[i] = current[i].Incarnation
	}
	return ids
}

// heads is one read of the two rows that define a state: document head and
// placement. Both come from one snapshot of the table, so the state was committed.
type heads struct {
	head                headRow
	headRowVersion      uint64
	placement           *placement.Placement
	placementRowVersion uint64
}

func (h *heads) state() permit.State {
	return permit.State{Version: h.head.Version, Epoch: h.placement.Epoch}
}

// readHeads reads document head and placement together.
func readHeads(ctx context.Context, t store.Table, cell string) (*heads, error) {
	key := membership.PlacementKey(cell)
	rows, err := t.Get(ctx, headKey, key)
	if err != nil {
		return nil, fmt.Errorf("read document head and placement: %w", err)
	}
	if len(rows) != 2 {
		return nil, fmt.Errorf("read document head and placement: %d rows instead of 2", len(rows))
	}
	h := &heads{headRowVersion: rows[0].Version, placementRowVersion: rows[1].Version}
	if h.head, err = decodeRow[headRow](headKey, rows[0].Value); err != nil {
		return nil, err
	}
	if h.placement, err = membership.DecodePlacement(rows[1].Value); err != nil {
		return nil, err
	}
	return h, nil
}

// loadTries is the maximum number of times that a load reads the sections. It
// reads them again if the document changed meanwhile.
const loadTries = 5

// load reads a whole snapshot. Sections are read between two reads of the head:
// every change of a section raises the head, so equal heads mean that the
// sections belong to it. If known has the document of that version and was read
// from the table, the sections are not read again; a document from another entry
// lacks owners and authors.
func load(ctx context.Context, t store.Table, cell string, known *snapshot) (*snapshot, error) {
	before, err := readHeads(ctx, t, cell)
	if err != nil {
		return nil, err
	}
	for range loadTries {
		if known != nil && known.fromTable && known.document.Version == before.head.Version {
			return newSnapshot(before, known.document, known.view), nil
		}
		sections, err := readSections(ctx, t)
		if err != nil {
			return nil, err
		}
		after, err := readHeads(ctx, t, cell)
		if err != nil {
			return nil, err
		}
		if after.head.Version == before.head.Version {
			return newCheckedSnapshot(after, document.New(after.head.Version, sections))
		}
		before = after
	}
	return nil, fmt.Errorf("the document changed %d times while it was read", loadTries)
}

func newCheckedSnapshot(h *heads, d *document.Document) (*snapshot, error) {
	view, err := document.NewView(d)
	if err != nil {
		return nil, fmt.Errorf("document version %d is faulty: %w", d.Version, err)
	}
	return newSnapshot(h, d, view), nil
}

func newSnapshot(h *heads, d *document.Document, v *document.View) *snapshot {
	return &snapshot{
		document: d, view: v, placement: h.placement,
		headRowVersion: h.headRowVersion, placementRowVersion: h.placementRowVersion, fromTable: true,
	}
}

// withDocument returns the snapshot after the commit of a document based on s. The
// commit has raised the version of the written row by one.
func (s *snapshot) withDocument(d *document.Document, v *document.View) *snapshot {
	next := *s
	next.document, next.view = d, v
	next.headRowVersion++
	return &next
}

// withPlacement returns the snapshot after the commit of a placement based on s.
func (s *snapshot) withPlacement(p *placement.Placement) *snapshot {
	next := *s
	next.placement = p
	next.placementRowVersion++
	return &next
}

func readSections(ctx context.Context, t store.Table) ([]document.Section, error) {
	var sections []document.Section
	err := scanAll(ctx, t, sectionPrefix, func(r store.Row) error {
		s, err := decodeRow[document.Section](r.Key, r.Value)
		if err == nil {
			sections = append(sections, s)
		}
		return err
	})
	return sections, err
}

// scanAll calls visit for all rows with a prefix, which it reads in pages.
func scanAll(ctx context.Context, t store.Table, prefix string, visit func(store.Row) error) error {
	after := ""
	for {
		rows, err := t.Scan(ctx, prefix, after, scanPage)
		if err != nil {
			return fmt.Errorf("scan %s: %w", prefix, err)
		}
		for _, r := range rows {
			if err := visit(r); err != nil {
				return err
			}
		}
		if len(rows) < scanPage {
			return nil
		}
		after = rows[len(rows)-1].Key
	}
}
