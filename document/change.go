package document

import (
	"errors"
	"fmt"
	"time"

	"foxtaildock.example/dock/ident"
)

// Change is one proposed change of one section.
type Change struct {
	// ID names the change for ever. Who proposes a change chooses it at
	// random and repeats it when asking again after a lost answer.
	ID      string
	Section Name
	// Expect is the version of the section that the change was made from; 0
	// if the section did not exist.
	Expect ident.DocVersion
	// Text is the new text; Delete removes the section instead.
	Text   string
	Delete bool
	By     Identity
	// Reason is shown in the audit trail.
	Reason string
}

// ErrForbidden means that the identity may not change the section.
var ErrForbidden = errors.New("not the owner of this section")

// ConflictError means that the section has changed since the version that the
// change was made from. It names the winner and shows the clash.
type ConflictError struct {
	Section Name
	Expect  ident.DocVersion
	// Winner is the section as the winner left it.
	Winner Section
	// Theirs is the winner's change and Yours the refused one, both as line
	// differences. Theirs is counted from the expected text if that is known.
	Theirs, Yours []Line
}

// Error names the winner.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("%s was changed to version %d by %s at %s, after version %d that this change was made from",
		e.Section, e.Winner.Version, e.Winner.By, time.Unix(e.Winner.AtUnix, 0).UTC().Format(time.RFC3339), e.Expect)
}

// Decide checks a change against the current document and returns the document
// after it with its view, and the changed section. The error is ErrForbidden, a *ConflictError or a
// *CheckError. base is the text at the expected version, if known.
func Decide(d *Document, c Change, base string, at time.Time) (*View, *Document, Section, error) {
	last, _ := d.Last(c.Section)
	if err := allowed(d, c); err != nil {
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
	if err := keepsOwner(last, next, c.By.Team); err != nil {
		return nil, nil, Section{}, err
	}
	after := d.With(next)
	view, err := NewView(after)
	if err != nil {
		return nil, nil, Section{}, err
	}
	return view, after, next, nil
}

// allowed reports whether the identity may change the section at all. Operators
// may change every section, so that one whose owner is gone can be mended.
// Everyone else may change what they own, and may create services.
func allowed(d *Document, c Change) error {
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

// keepsOwner refuses that a team other than operators creates a section for
// somebody else. An owner may hand its section over.
func keepsOwner(last, next Section, by ident.Team) error {
	created := last.Version == 0 || last.Deleted
	if created && by != OperatorsTeam && next.Owner != by {
		return ErrForbidden
	}
	return nil
}

func conflict(last Section, c Change, base string) *ConflictError {
	return &ConflictError{
		Section: c.Section, Expect: c.Expect, Winner: last,
		Theirs: Diff(base, last.Text), Yours: Diff(base, c.Text),
	}
}
