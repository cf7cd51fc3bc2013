package proof

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"foxtaildock.example/bench/cluster"
	"foxtaildock.example/dock/document"
	"foxtaildock.example/dock/ident"
	"foxtaildock.example/dock/platform"
)

// Keys of the document's rows.
const (
	documentHeadKey = "document/head"
	sectionKeys     = "document/section/"
	// commitTries bounds how often a change starts over.
	commitTries = 20
)

// rowOperators writes changes into the table as forced changes, without the
// entries' announcement. It stands in until the operators' interface is served.
type rowOperators struct {
	table platform.Table
}

// headValue is the value of the row documentHeadKey.
type headValue struct {
	Version ident.DocVersion `json:"version"`
}

func (o *rowOperators) Prepare(ctx context.Context, c *cluster.Cluster, team, service string) (string, error) {
	o.table = platform.NewClient(c.PlatformAddress(), 0).Table()
	first, err := newFirstDocument(team, service)
	if err != nil {
		return "", err
	}
	if err := o.write(ctx, first.sections...); err != nil {
		return "", err
	}
	return first.callerToken, nil
}

func (o *rowOperators) SetDomain(ctx context.Context, domain string, inService bool) (time.Time, error) {
	err := o.write(ctx, domainSection(domain, inService))
	return time.Now(), err
}

func (o *rowOperators) Drain(ctx context.Context, agent *cluster.Agent, out bool) (time.Time, error) {
	section := drainSection(agent.Internal)
	if !out {
		section.text = ""
	}
	err := o.write(ctx, section)
	return time.Now(), err
}

// write commits sections in one transaction; an empty text deletes a section.
func (o *rowOperators) write(ctx context.Context, sections ...sectionText) error {
	for range commitTries {
		err := o.try(ctx, sections)
		var conflict *platform.ConflictError
		if err == nil || !errors.As(err, &conflict) {
			return err
		}
	}
	return fmt.Errorf("other changes came first %d times", commitTries)
}

func (o *rowOperators) try(ctx context.Context, sections []sectionText) error {
	rows, err := o.table.Get(ctx, documentHeadKey)
	if err != nil {
		return err
	}
	var head headValue
	if len(rows[0].Value) > 0 {
		if err := json.Unmarshal(rows[0].Value, &head); err != nil {
			return err
		}
	}
	var writes []platform.Write
	for _, s := range sections {
		head.Version++
		write, err := sectionWrite(s, head.Version)
		if err != nil {
			return err
		}
		writes = append(writes, write)
	}
	value, err := json.Marshal(head)
	if err != nil {
		return err
	}
	writes = append(writes, platform.Write{Key: documentHeadKey, Expect: rows[0].Version, Value: value})
	return o.table.Commit(ctx, writes...)
}

func sectionWrite(s sectionText, version ident.DocVersion) (platform.Write, error) {
	value, err := json.Marshal(document.Section{
		Name:    s.name,
		Version: version,
		Text:    s.text,
		Owner:   document.OperatorsTeam,
		By:      "operators/" + operatorTokenID,
		AtUnix:  time.Now().Unix(),
		Deleted: s.text == "",
	})
	if err != nil {
		return platform.Write{}, err
	}
	return platform.Write{Key: sectionKeys + string(s.name), Expect: platform.AnyVersion, Value: value}, nil
}
