package proof

import (
	"crypto/rand"
	"fmt"
	"strings"

	"foxtaildock.example/dock/document"
	"foxtaildock.example/dock/ident"
)

// Token ids in the first document.
const (
	operatorTokenID = "bench"
	callerTokenID   = "till"
)

// sectionText is one section to write.
type sectionText struct {
	name document.Name
	text string
	// expect is the version that the section has now.
	expect ident.DocVersion
}

// firstDocument is the document of a new system, and its tokens.
type firstDocument struct {
	operators     sectionText
	others        []sectionText
	operatorToken string
	callerToken   string
}

// newFirstDocument makes tokens and sections for the operators, the team that
// submits and its service.
func newFirstDocument(team, service string) (firstDocument, error) {
	operator, operatorText, err := teamSection(document.OperatorsTeam, operatorTokenID, document.RoleOperator)
	if err != nil {
		return firstDocument{}, err
	}
	caller, callerText, err := teamSection(ident.Team(team), callerTokenID, document.RoleCaller)
	if err != nil {
		return firstDocument{}, err
	}
	return firstDocument{
		operatorToken: operator,
		callerToken:   caller,
		operators:     operatorText,
		others: []sectionText{
			callerText,
			{
				name: document.NameOf(document.KindService, service),
				text: fmt.Sprintf("owner = %q\nteams = [%q]\n", document.OperatorsTeam, team),
			},
		},
	}, nil
}

// teamSection makes a token and the section that keeps it.
func teamSection(team ident.Team, id string, role document.Role) (string, sectionText, error) {
	token, entry, err := document.NewToken(rand.Reader, team, id, role)
	if err != nil {
		return "", sectionText{}, err
	}
	var text strings.Builder
	fmt.Fprintf(&text, "owner = %q\n\n[[tokens]]\n", document.OperatorsTeam)
	fmt.Fprintf(&text, "id = %q\nrole = %q\n", entry.ID, entry.Role)
	fmt.Fprintf(&text, "salt = %q\nsha256 = %q\n", entry.Salt, entry.SHA256)
	return token, sectionText{name: document.NameOf(document.KindTeam, string(team)), text: text.String()}, nil
}
