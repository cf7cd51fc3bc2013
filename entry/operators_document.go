package entry

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"foxtaildock.example/dock/api"
	"foxtaildock.example/dock/audit"
	"foxtaildock.example/dock/control"
	"foxtaildock.example/dock/document"
	"foxtaildock.example/dock/ident"
	"foxtaildock.example/dock/store"
)

// defaultHistory is the number of versions in a history if the request gives no
// limit.
const defaultHistory = 20

// document answers with the whole document.
func (o *OperatorsHandler) document(w http.ResponseWriter, r *http.Request, _ document.Identity) {
	doc, err := o.store.Current(r.Context())
	if err != nil {
		refuseError(w, "", err)
		return
	}
	w.Header().Set("ETag", etag(doc.Version))
	writeOK(w, api.DocumentAnswer{Version: doc.Version, Sections: doc.Sections()})
}

// section answers with one section.
func (o *OperatorsHandler) section(w http.ResponseWriter, r *http.Request, _ document.Identity) {
	doc, err := o.store.Current(r.Context())
	if err != nil {
		refuseError(w, "", err)
		return
	}
	s, ok := doc.Section(sectionName(r))
	if !ok {
		refuse(w, http.StatusNotFound, audit.Invalid, "there is no section "+string(sectionName(r)))
		return
	}
	w.Header().Set("ETag", etag(s.Version))
	writeOK(w, s)
}

func etag(v ident.DocVersion) string { return `"` + strconv.FormatUint(uint64(v), 10) + `"` }

func sectionName(r *http.Request) document.Name {
	return document.NameOf(document.Kind(r.PathValue("kind")), r.PathValue("subject"))
}

// history answers with the newest versions of one section.
func (o *OperatorsHandler) history(w http.ResponseWriter, r *http.Request, _ document.Identity) {
	limit := defaultHistory
	if n, err := strconv.Atoi(r.URL.Query().Get("limit")); err == nil && n > 0 {
		limit = n
	}
	sections, err := o.store.History(r.Context(), sectionName(r), limit)
	if err != nil {
		refuseError(w, "", err)
		return
	}
	writeOK(w, api.HistoryAnswer{Sections: sections})
}

// put updates or creates one section.
func (o *OperatorsHandler) put(w http.ResponseWriter, r *http.Request, by document.Identity) {
	o.change(w, r, by, func(req *api.ChangeRequest, c *document.Change, _ document.Section) error {
		if req.Expect == nil {
			return errNoExpect
		}
		return nil
	})
}

// remove deletes one section.
func (o *OperatorsHandler) remove(w http.ResponseWriter, r *http.Request, by document.Identity) {
	o.change(w, r, by, func(req *api.ChangeRequest, c *document.Change, _ document.Section) error {
		c.Delete = true
		c.Text = ""
		if req.Expect == nil {
			return errNoExpect
		}
		return nil
	})
}

var errNoExpect = errors.New("expect is missing: name the version that the change was made from, or 0 for a new section")

// withdraw takes a failure domain out of service.
func (o *OperatorsHandler) withdraw(w http.ResponseWriter, r *http.Request, by document.Identity) {
	o.setDomain(w, r, by, document.DomainWithdrawn)
}

// restore returns a failure domain to service.
func (o *OperatorsHandler) restore(w http.ResponseWriter, r *http.Request, by document.Identity) {
	o.setDomain(w, r, by, document.DomainInService)
}

func (o *OperatorsHandler) setDomain(w http.ResponseWriter, r *http.Request, by document.Identity, state document.DomainState) {
	o.change(w, r, by, func(req *api.ChangeRequest, c *document.Change, current document.Section) error {
		c.Section = document.NameOf(document.KindDomain, r.PathValue("domain"))
		c.Text = document.DomainText(current.Text, state, req.Reason)
		return nil
	})
}

// drain takes one backend server out of service.
func (o *OperatorsHandler) drain(w http.ResponseWriter, r *http.Request, by document.Identity) {
	o.change(w, r, by, func(req *api.ChangeRequest, c *document.Change, _ document.Section) error {
		c.Section = document.NameOf(document.KindDrain, r.PathValue("server"))
		c.Text = document.DrainText(req.Reason)
		return nil
	})
}

// undrain returns one backend server to service.
func (o *OperatorsHandler) undrain(w http.ResponseWriter, r *http.Request, by document.Identity) {
	o.change(w, r, by, func(_ *api.ChangeRequest, c *document.Change, _ document.Section) error {
		c.Section = document.NameOf(document.KindDrain, r.PathValue("server"))
		c.Delete = true
		return nil
	})
}

// completeChange completes a change from its request and the current section. Its
// error is answered with status 400.
type completeChange func(req *api.ChangeRequest, c *document.Change, current document.Section) error

// change carries out one change and answers it.
func (o *OperatorsHandler) change(w http.ResponseWriter, r *http.Request, by document.Identity, f completeChange) {
	req, c, ok := o.prepare(w, r, sectionOf(r), by, f)
	if !ok {
		return
	}
	applied, err := o.store.Apply(r.Context(), c, req.Force)
	if err != nil {
		refuseError(w, c.ID, err)
		return
	}
	w.Header().Set("ETag", etag(applied.Version))
	writeOK(w, api.ChangeAnswer{ChangeID: applied.ChangeID, Section: applied.Section, Version: applied.Version, Repeated: applied.Repeated})
}

// sectionOf returns the name of the section that the path of a request refers to.
func sectionOf(r *http.Request) document.Name {
	if d := r.PathValue("domain"); d != "" {
		return document.NameOf(document.KindDomain, d)
	}
	if s := r.PathValue("server"); s != "" {
		return document.NameOf(document.KindDrain, s)
	}
	return sectionName(r)
}

// prepare decodes the request for a change of section n and completes the change
// with f, which gets the current section if the request has no Expect or n is a
// failure domain. If that fails, prepare answers the request and returns false.
func (o *OperatorsHandler) prepare(w http.ResponseWriter, r *http.Request, n document.Name, by document.Identity, f completeChange) (api.ChangeRequest, document.Change, bool) {
	var req api.ChangeRequest
	d := json.NewDecoder(r.Body)
	d.DisallowUnknownFields()
	if err := d.Decode(&req); err != nil {
		refuse(w, http.StatusBadRequest, audit.Invalid, "malformed request: "+err.Error())
		return req, document.Change{}, false
	}
	c := document.Change{ID: req.ChangeID, Section: n, Text: req.Text, By: by, Reason: req.Reason}
	var current document.Section
	if req.Expect != nil {
		c.Expect = *req.Expect
	}
	if req.Expect == nil || n.Kind() == document.KindDomain {
		doc, err := o.store.Current(r.Context())
		if err != nil {
			refuseError(w, c.ID, err)
			return req, c, false
		}
		current, _ = doc.Section(n)
	}
	if req.Expect == nil {
		c.Expect = current.Version
	}
	if err := f(&req, &c, current); err != nil {
		refuse(w, http.StatusBadRequest, audit.Invalid, err.Error())
		return req, c, false
	}
	return req, c, true
}

// check answers with what a change would do, without making it.
func (o *OperatorsHandler) check(w http.ResponseWriter, r *http.Request, by document.Identity) {
	n := document.Name(r.URL.Query().Get("section"))
	_, c, ok := o.prepare(w, r, n, by, func(*api.ChangeRequest, *document.Change, document.Section) error { return nil })
	if !ok {
		return
	}
	doc, err := o.store.Current(r.Context())
	if err != nil {
		refuseError(w, "", err)
		return
	}
	current, _ := doc.Section(n)
	result := api.CheckAnswer{OK: true, Version: current.Version, Diff: document.Diff(current.Text, c.Text)}
	if _, _, _, err := document.Decide(doc, c, "", time.Now()); err != nil {
		_, refusal := refusalOf("", err)
		result.OK = false
		result.Refusal = &refusal
	}
	writeOK(w, result)
}

// refusalOf returns the HTTP status and body that answer an error of the store.
func refusalOf(id string, err error) (int, api.ChangeRefusal) {
	r := api.ChangeRefusal{ChangeID: id, Outcome: control.OutcomeOf(err), Error: err.Error()}
	var conflict *document.ConflictError
	if errors.As(err, &conflict) {
		r.Winner = &conflict.Winner
		r.Theirs = document.Changes(conflict.Theirs)
		r.Yours = document.Changes(conflict.Yours)
	}
	var checkErr *document.CheckError
	if errors.As(err, &checkErr) {
		r.Problems = checkErr.Problems
		r.Error = fmt.Sprintf("%d problem(s) in the document", len(checkErr.Problems))
	}
	r.MayBeAccepted = errors.Is(err, store.ErrUnknown)
	return statusOf(r.Outcome), r
}

// statusOf returns the HTTP status of an outcome.
func statusOf(o audit.Outcome) int {
	switch o {
	case audit.Accepted:
		return http.StatusOK
	case audit.Conflict:
		return http.StatusConflict
	case audit.Invalid:
		return http.StatusUnprocessableEntity
	case audit.Forbidden:
		return http.StatusForbidden
	case audit.Unauthorized:
		return http.StatusUnauthorized
	case audit.Unknown:
		return http.StatusGatewayTimeout
	}
	return http.StatusServiceUnavailable
}

func refuseError(w http.ResponseWriter, id string, err error) {
	status, r := refusalOf(id, err)
	if status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", "1")
	}
	writeJSON(w, status, r)
}

func refuse(w http.ResponseWriter, status int, outcome audit.Outcome, message string) {
	writeJSON(w, status, api.ChangeRefusal{Outcome: outcome, Error: message})
}

func writeOK(w http.ResponseWriter, body any) { writeJSON(w, http.StatusOK, body) }

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(status)
	// Writing fails if the operator has closed the connection; nothing is left to
	// do then.
	_ = json.NewEncoder(w).Encode(body)
}
