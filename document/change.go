package document

import (
	"errors"
	"fmt"
	"time"

	"foxtaildock.example/dock/ident"
)

// Change is one proposed change of one section.
type Change struct {
	// ID identifies the change permanently, which makes a repeated request
	// idempotent. The client chooses it at random and repeats it when it
	// retries after a lost answer.
	ID      string
	Section Name
	// Expect is the version of the section that the change is based on; 0 if
	// the section did not exist.
	Expect ident.DocVersion
	// Text is the new text; Delete removes the section instead.
	Text   string
	Delete bool
	By     Identity
	// Reason is shown in the audit trail.
	Reason string
}

// ErrForbidden means that the identity is not permitted to change the section.
var ErrForbidden = errors.New("not the owner of this section")

// ConflictError means that the section has changed since the version that the
// change is based on. It holds the winning state and the differences of both
// changes.
type ConflictError struct {
	Section Name
	Expect  ident.DocVersion
	// Winner is the section after the winning change.
	Winner Section
	// Theirs is the winning change and Yours the refused one, both as line
	// differences from the text at version Expect. If that text is not known,
	// they are differences from the empty text.
	Theirs, Yours []Line
}

// Error names the section, the winning version with its author and time, and the
// expected version.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("%s was changed to version %d by %s at %s, after version %d that this change was made from",
		e.Section, e.Winner.Version, e.Winner.By, time.Unix(e.Winner.AtUnix, 0).UTC().Format(time.RFC3339), e.Expect)
}

// Decide checks a change against the current document. It returns the view of
// the document after the change, that document, and the changed section. The
// error is ErrForbidden, a *ConflictError or a *CheckError. base is the text of
// the section at the expected version, or empty if not known.
func Decide(d *Document, c Change, base string, at time.Time) (*View, *Document, Section, error) {
	last, _ := d.Last(c.Section)
	if err := authorize(d, c); err != nil {
		return nil, nil, Section{}, err
	}
	if last.Version != c.Expect && !(last.Deleted && c.Expect == 0) {
		return nil, nil, Section{}, conflict(last, c, base)
	}
	next := Section{
		Name: c.Section, Version: d.Version + 1, Text: c.Text, By: c.By.String(),
		AtUnix: at.Unix(), ChangeID: c.ID, Deleted: c.Delete,
	}
	if c.Delete && (last.Version == 0 || last.Deleted) {
		return nil, nil, Section{}, &CheckError{Problems: []Problem{{Section: c.Section, Message: "there is no such section"}}}
	}
	if c.Delete {
		next.Text = ""
		next.Owner = last.Owner
	}
	if !c.Delete {
		parsed, problems := parse(c.Section, c.Text)
		if len(problems) > 0 {
			return nil, nil, Section{}, &CheckError{Problems: problems}
		}
		next.Owner = parsed.owner()
	}
	if err := checkOwner(last, next, c.By.Team); err != nil {
		return nil, nil, Section{}, err
	}
	after := d.With(next)
	view, err := NewView(after)
	if err != nil {
		return nil, nil, Section{}, err
	}
	return view, after, next, nil
}

// authorize returns ErrForbidden if the identity may not change the section.
// The operators team may change every section, so that a section whose owner no
// longer exists can be repaired. Other teams may change the sections that they
// own, and may create services.
func authorize(d *Document, c Change) error {
	if c.By.Role != RoleOperator {
		return ErrForbidden
	}
	if c.By.Team == OperatorsTeam {
		return nil
	}
	s, exists := d.Section(c.Section)
	if exists && s.Owner == c.By.Team {
		return nil
	}
	if !exists && c.Section.Kind() == KindService && !c.Delete {
		return nil
	}
	return ErrForbidden
}

// checkOwner returns ErrForbidden if a team other than operators creates a
// section that another team owns. The owner of an existing section may give it
// to another team.
func checkOwner(last, next Section, by ident.Team) error {
	created := last.Version == 0 || last.Deleted
	if created && by != OperatorsTeam && next.Owner != by {
		return ErrForbidden
	}
	return nil
}

// conflict returns the error for a change that is not based on the last version.
func conflict(last Section, c Change, base string) *ConflictError {
	return &ConflictError{
		Section: c.Section, Expect: c.Expect, Winner: last,
		Theirs: Diff(base, last.Text), Yours: Diff(base, c.Text),
	}
}
