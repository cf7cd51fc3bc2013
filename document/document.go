// Package document holds the operators' document: TOML sections that different
// teams own, their strict parsing and checking, and the typed view that the
// rest of the system reads. The package decides; package control stores.
//
// The document has one version, which each accepted change raises by one. The
// version of a section is the document version of its last change, so it serves
// as an ETag: it is never used twice.
package document

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"foxtaildock.example/dock/ident"
)

// Bounds on a document. A change beyond one is refused.
const (
	// MaxSections is the largest number of sections.
	MaxSections = 2000
	// MaxSectionBytes is the largest text of one section.
	MaxSectionBytes = 32 << 10
	// MaxDocumentBytes is the largest sum of texts.
	MaxDocumentBytes = 1 << 20
	// MaxNameLength is the longest section name, in bytes.
	MaxNameLength = 128
)

// OperatorsTeam is the team that administers the document. It owns what no
// other team owns, and its section must exist before any other.
const OperatorsTeam ident.Team = "operators"

// Kind is the part of a section name before the first slash.
type Kind string

// The kinds of section.
const (
	KindTeam    Kind = "team"    // the tokens of a team
	KindLimits  Kind = "limits"  // what a team may use
	KindService Kind = "service" // a kind of backend server
	KindDomain  Kind = "domain"  // whether a failure domain is in service
	KindDrain   Kind = "drain"   // one backend server out of service
)

// Kinds lists the kinds in the order in which documents are shown.
func Kinds() []Kind {
	return []Kind{KindTeam, KindLimits, KindService, KindDomain, KindDrain}
}

// Name is the full name of a section, as in "domain/lulea".
type Name string

// NameOf builds a name.
func NameOf(k Kind, subject string) Name { return Name(string(k) + "/" + subject) }

// Kind returns the part before the slash.
func (n Name) Kind() Kind {
	k, _, _ := strings.Cut(string(n), "/")
	return Kind(k)
}

// Subject returns the part after the slash.
func (n Name) Subject() string {
	_, s, _ := strings.Cut(string(n), "/")
	return s
}

// Validate reports why a name can't be that of a section.
func (n Name) Validate() error {
	if len(n) > MaxNameLength {
		return fmt.Errorf("name is longer than %d bytes", MaxNameLength)
	}
	if !slices.Contains(Kinds(), n.Kind()) {
		return fmt.Errorf("name %q starts with none of team/, limits/, service/, domain/, drain/", string(n))
	}
	if n.Subject() == "" {
		return fmt.Errorf("name %q has nothing after the slash", string(n))
	}
	for _, r := range n.Subject() {
		if !nameRune(r) {
			return fmt.Errorf("name %q has the character %q; letters, digits and . : _ ~ - may be used", string(n), r)
		}
	}
	return nil
}

// nameRune reports whether a subject may contain r. Everything that may be the
// name of a team, service or failure domain elsewhere has to be allowed here; the
// colon is for addresses.
func nameRune(r rune) bool {
	letter := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z'
	return letter || r >= '0' && r <= '9' || strings.ContainsRune(".:_~-", r)
}

// Section is one section as stored.
type Section struct {
	Name Name `json:"name"`
	// Version is the document version of the last change.
	Version ident.DocVersion `json:"version"`
	Text    string           `json:"text"`
	// Owner is the team that may change the section, as its text says.
	Owner ident.Team `json:"owner"`
	// By, AtUnix and ChangeID say who changed it last, when, and in which
	// change.
	By       string `json:"by"`
	AtUnix   int64  `json:"at_unix"`
	ChangeID string `json:"change_id"`
	// Deleted marks a section that is gone. Its row is kept so that its
	// version can't start over.
	Deleted bool `json:"deleted,omitempty"`
}

// Document is one immutable state of the document.
type Document struct {
	Version  ident.DocVersion
	sections map[Name]Section
}

// New builds a document out of sections in any order, deleted ones included.
func New(version ident.DocVersion, sections []Section) *Document {
	d := &Document{Version: version, sections: make(map[Name]Section, len(sections))}
	for _, s := range sections {
		d.sections[s.Name] = s
	}
	return d
}

// Section returns a section that exists.
func (d *Document) Section(n Name) (Section, bool) {
	s, ok := d.sections[n]
	if !ok || s.Deleted {
		return Section{}, false
	}
	return s, true
}

// Last returns the newest state of a section, be it deleted.
func (d *Document) Last(n Name) (Section, bool) {
	s, ok := d.sections[n]
	return s, ok
}

// Sections returns the sections that exist, in the order of Kinds and names.
func (d *Document) Sections() []Section {
	var all []Section
	for _, n := range slices.Sorted(maps.Keys(d.sections)) {
		if s := d.sections[n]; !s.Deleted {
			all = append(all, s)
		}
	}
	slices.SortStableFunc(all, func(a, b Section) int {
		return slices.Index(Kinds(), a.Name.Kind()) - slices.Index(Kinds(), b.Name.Kind())
	})
	return all
}

// With returns the document after a change of one section.
func (d *Document) With(s Section) *Document {
	next := &Document{Version: s.Version, sections: maps.Clone(d.sections)}
	next.sections[s.Name] = s
	return next
}

// size is the sum of all texts.
func (d *Document) size() int {
	n := 0
	for _, s := range d.sections {
		if !s.Deleted {
			n += len(s.Text)
		}
	}
	return n
}
