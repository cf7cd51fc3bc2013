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
}

// firstDocument is the document of a new system, and its tokens.
type firstDocument struct {
	sections      []sectionText
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
		sections: []sectionText{
			operatorText,
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

// domainSection says whether a failure domain is in service.
func domainSection(domain string, inService bool) sectionText {
	state := document.DomainWithdrawn
	if inService {
		state = document.DomainInService
	}
	return sectionText{
		name: document.NameOf(document.KindDomain, domain),
		text: fmt.Sprintf("owner = %q\nstate = %q\nreason = \"proof\"\nramp_seconds = 1\n", document.OperatorsTeam, state),
	}
}

// drainSection takes the backend server beside the agent out of service.
func drainSection(address string) sectionText {
	return sectionText{
		name: document.NameOf(document.KindDrain, address),
		text: fmt.Sprintf("owner = %q\nreason = \"proof\"\n", document.OperatorsTeam),
	}
}
