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

// sectionText is the text of one section of the operators' document.
type sectionText struct {
	name document.Name
	text string
	// expect is the version that the stored section must have for the write to be
	// accepted; 0 for a section that does not exist yet.
	expect ident.DocVersion
}

// firstDocument is the document of a new system, and its tokens.
type firstDocument struct {
	operators     sectionText
	others        []sectionText
	operatorToken string
	callerToken   string
}

// newFirstDocument creates tokens and sections for the operators, the client account
// that submits, and its service.
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

// teamSection creates a token and the section of the client account that holds its hash.
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
