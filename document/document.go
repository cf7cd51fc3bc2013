// Package document implements the operators' document: TOML sections owned by
// different teams, their strict parsing and checking, and the typed view that
// the rest of the system reads. This package decides whether a change is
// accepted; package control stores it. Processes on the users' platform have no
// such document: they read the operators' rows, see package operator.
//
// The document has one version number, which each accepted change raises by
// one. The version of a section is the document version of its last change, so
// it serves as an ETag: it is never used twice.
package document

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"foxtaildock.example/dock/ident"
)

// Limits on a document. A change that exceeds one is refused.
const (
	// MaxSections is the maximum number of sections.
	MaxSections = 2000
	// MaxSectionBytes is the maximum size of the text of one section.
	MaxSectionBytes = 32 << 10
	// MaxDocumentBytes is the maximum total size of all texts.
	MaxDocumentBytes = 1 << 20
	// MaxNameLength is the maximum length of a section name, in bytes.
	MaxNameLength = 128
)

// OperatorsTeam is the team that administers the document. It owns what no
// other team owns, may change every section, and its section must exist before
// any other.
const OperatorsTeam ident.Team = "operators"

// Kind is the part of a section name before the first slash.
type Kind string

// The kinds of section.
const (
	KindTeam    Kind = "team"    // the tokens of a team
	KindLimits  Kind = "limits"  // the limits of a team
	KindService Kind = "service" // a service that backend servers provide
	KindDomain  Kind = "domain"  // whether a failure domain is in service
	KindDrain   Kind = "drain"   // takes one backend server out of service
)

// Kinds lists the kinds in the order in which documents are shown.
func Kinds() []Kind {
	return []Kind{KindTeam, KindLimits, KindService, KindDomain, KindDrain}
}

// Name is the full name of a section, such as "domain/lulea".
type Name string

// NameOf returns the name of the section of the kind and subject.
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

// Validate returns an error that says why the name is not a valid section name,
// or nil.
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
		if !isNameRune(r) {
			return fmt.Errorf("name %q has the character %q; letters, digits and . : _ ~ - may be used", string(n), r)
		}
	}
	return nil
}

// isNameRune reports whether a subject may contain r. Every character that the
// names of teams, services and failure domains may contain elsewhere must be
// allowed here; the colon is for addresses.
func isNameRune(r rune) bool {
	letter := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z'
	return letter || r >= '0' && r <= '9' || strings.ContainsRune(".:_~-", r)
}

// Section is one section as stored.
type Section struct {
	Name Name `json:"name"`
	// Version is the document version of the last change.
	Version ident.DocVersion `json:"version"`
	Text    string           `json:"text"`
	// Owner is the team that may change the section, as given in its text.
	Owner ident.Team `json:"owner"`
	// By, AtUnix and ChangeID say who made the last change, when (in Unix
	// seconds), and the ID of that change.
	By       string `json:"by"`
	AtUnix   int64  `json:"at_unix"`
	ChangeID string `json:"change_id"`
	// Deleted marks a deleted section (a tombstone). Its row is kept so that
	// its version numbers never start again.
	Deleted bool `json:"deleted,omitempty"`
}

// Document is one version of the operators' document. It is immutable.
type Document struct {
	Version  ident.DocVersion
	sections map[Name]Section
}

// New returns a document with the given sections, in any order, deleted ones
// included.
func New(version ident.DocVersion, sections []Section) *Document {
	d := &Document{Version: version, sections: make(map[Name]Section, len(sections))}
	for _, s := range sections {
		d.sections[s.Name] = s
	}
	return d
}

// Section returns a section, and false if it does not exist or is deleted.
func (d *Document) Section(n Name) (Section, bool) {
	s, ok := d.sections[n]
	if !ok || s.Deleted {
		return Section{}, false
	}
	return s, true
}

// Last returns the newest state of a section, even if it is deleted, and false
// if it never existed.
func (d *Document) Last(n Name) (Section, bool) {
	s, ok := d.sections[n]
	return s, ok
}

// Sections returns the sections that are not deleted, ordered by Kinds and then
// by name.
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

// With returns a copy of the document with the given section added or replaced.
// Its version is that of the section.
func (d *Document) With(s Section) *Document {
	next := &Document{Version: s.Version, sections: maps.Clone(d.sections)}
	next.sections[s.Name] = s
	return next
}

// size returns the total size of all texts, in bytes.
func (d *Document) size() int {
	n := 0
	for _, s := range d.sections {
		if !s.Deleted {
			n += len(s.Text)
		}
	}
	return n
}
