package proof

import (
	"context"
	"crypto/rand"
	"fmt"
	"strings"
	"time"

	"foxtaildock.example/bench/cluster"
	"foxtaildock.example/dock/api"
	"foxtaildock.example/dock/document"
	"foxtaildock.example/dock/pause"
)

// changeReason is the reason of every change in the audit trail of the system under
// test.
const changeReason = "proof"

// Operators changes the operators' document through the operators' interface of the
// entries, each time starting with the next entry.
type Operators struct {
	cluster *cluster.Cluster
	token   string
	next    int
}

// prepareOperators writes the first document: the operators' section with the
// bootstrap token, then those of the client account that submits and of its service. It
// returns the operators and the token of the client account.
func prepareOperators(ctx context.Context, c *cluster.Cluster, team, service string) (*Operators, string, error) {
	first, err := newFirstDocument(team, service)
	if err != nil {
		return nil, "", err
	}
	bootstrap := &Operators{cluster: c, token: c.BootstrapToken}
	if err := bootstrap.apply(ctx, first.operators); err != nil {
		return nil, "", err
	}
	o := &Operators{cluster: c, token: first.operatorToken}
	if err := o.waitTokenAccepted(ctx); err != nil {
		return nil, "", err
	}
	for _, s := range first.others {
		if err := o.apply(ctx, s); err != nil {
			return nil, "", err
		}
	}
	return o, first.callerToken, nil
}

// client returns a client that tries the entries in turn, each time starting with the
// next one. It shares no connections with other clients, since some proofs break them.
func (o *Operators) client() (*api.OperatorsClient, error) {
	addresses := o.cluster.OperatorAddresses()
	first := o.next % len(addresses)
	o.next++
	return o.newClient(append(addresses[first:], addresses[:first]...))
}

func (o *Operators) newClient(addresses []string) (*api.OperatorsClient, error) {
	urls := make([]string, len(addresses))
	for i, a := range addresses {
		urls[i] = "http://" + a
	}
	return api.NewOperatorsClient(urls, o.token, nil)
}

// waitTokenAccepted waits until every entry accepts the token.
func (o *Operators) waitTokenAccepted(ctx context.Context) error {
	for _, address := range o.cluster.OperatorAddresses() {
		client, err := o.newClient([]string{address})
		if err != nil {
			return err
		}
		for {
			if _, err = client.Document(ctx); err == nil {
				break
			}
			if ctx.Err() != nil {
				return fmt.Errorf("%s does not accept the operators' token: %w", address, err)
			}
			pause.For(ctx, pollInterval)
		}
	}
	return nil
}

// apply creates a section.
func (o *Operators) apply(ctx context.Context, s sectionText) error {
	client, err := o.client()
	if err != nil {
		return err
	}
	request := newChange()
	request.Expect = new(s.expect)
	request.Text = s.text
	_, err = client.Apply(ctx, s.name, request)
	return err
}

// newChange returns a change request with a unique change id.
func newChange() api.ChangeRequest {
	id := fmt.Sprintf("%013d-%s", time.Now().UnixMilli(), strings.ToLower(rand.Text()))
	return api.ChangeRequest{ChangeID: id, Reason: changeReason}
}

// SetDomain withdraws a failure domain or restores it. It returns the time at which the
// answer with the acceptance of the change arrived.
func (o *Operators) SetDomain(ctx context.Context, domain string, inService bool) (time.Time, error) {
	client, err := o.client()
	if err != nil {
		return time.Time{}, err
	}
	return setDomain(ctx, client, domain, inService)
}

func setDomain(ctx context.Context, client *api.OperatorsClient, domain string, inService bool) (time.Time, error) {
	change := client.Withdraw
	if inService {
		change = client.Restore
	}
	_, err := change(ctx, domain, newChange())
	return time.Now(), err
}

// Drain takes the backend server beside the agent out of service, or puts it
// back. It returns the time at which the answer with the acceptance of the change
// arrived.
func (o *Operators) Drain(ctx context.Context, agent *cluster.Agent, out bool) (time.Time, error) {
	client, err := o.client()
	if err != nil {
		return time.Time{}, err
	}
	change := client.Undrain
	if out {
		change = client.Drain
	}
	_, err = change(ctx, agent.Internal, newChange())
	return time.Now(), err
}

// DomainState returns the committed state of a failure domain, as the next entry
// reports it. A domain that the document does not name is in service.
func (o *Operators) DomainState(ctx context.Context, domain string) (document.DomainState, error) {
	client, err := o.client()
	if err != nil {
		return "", err
	}
	status, err := client.Status(ctx)
	if err != nil {
		return "", err
	}
	for _, d := range status.Domains {
		if d.Domain == domain {
			return d.State, nil
		}
	}
	return document.DomainInService, nil
}
