package entry

import (
	"maps"
	"net/http"
	"slices"
	"strconv"
	"time"

	"foxtaildock.example/dock/api"
	"foxtaildock.example/dock/audit"
	"foxtaildock.example/dock/control"
	"foxtaildock.example/dock/document"
	"foxtaildock.example/dock/ident"
	"foxtaildock.example/dock/membership"
)

// defaultReport is the time that a report covers if the request gives no start.
const defaultReport = 24 * time.Hour

// audit answers with rows of the audit trail.
func (o *OperatorsHandler) audit(w http.ResponseWriter, r *http.Request, _ document.Identity) {
	q := r.URL.Query()
	since, ok := sinceOf(w, r, 0)
	if !ok {
		return
	}
	limit, _ := strconv.Atoi(q.Get("limit"))
	rows, err := o.store.Audit(r.Context(), audit.Query{
		Since: since, By: q.Get("by"), Section: q.Get("section"), Outcome: audit.Outcome(q.Get("outcome")), Limit: limit,
	})
	if err != nil {
		refuseError(w, "", err)
		return
	}
	writeOK(w, api.AuditAnswer{Rows: rows})
}

// sinceOf returns the time in the query parameter since. Without the parameter it
// returns the time that is ago before now, or the zero time if ago is 0. If the
// parameter is malformed, it answers the request and returns false.
func sinceOf(w http.ResponseWriter, r *http.Request, ago time.Duration) (time.Time, bool) {
	text := r.URL.Query().Get("since")
	if text == "" && ago == 0 {
		return time.Time{}, true
	}
	if text == "" {
		return time.Now().Add(-ago), true
	}
	since, err := time.Parse(time.RFC3339, text)
	if err != nil {
		refuse(w, http.StatusBadRequest, audit.Invalid, "since is not a time such as 2026-01-31T08:00:00Z")
		return time.Time{}, false
	}
	return since, true
}

// report answers with the report of changes and job outcomes.
func (o *OperatorsHandler) report(w http.ResponseWriter, r *http.Request, _ document.Identity) {
	since, ok := sinceOf(w, r, defaultReport)
	if !ok {
		return
	}
	rows, err := o.store.Audit(r.Context(), audit.Query{Since: since, Limit: audit.MaxLimit})
	if err != nil {
		refuseError(w, "", err)
		return
	}
	slices.Reverse(rows)
	result := api.ReportAnswer{SinceUnix: since.Unix(), Changes: audit.Summarize(rows)}
	if o.cfg.Tallies != nil {
		result.Jobs = o.cfg.Tallies()
	}
	writeOK(w, result)
}

// forcePlacement lets this entry commit its next placement epoch without the
// acknowledgements of agents, which agents that are off can't give. Only the
// operators team may ask for it.
func (o *OperatorsHandler) forcePlacement(w http.ResponseWriter, r *http.Request, by document.Identity) {
	row := audit.Row{
		ID: control.NewID(), UnixMS: time.Now().UnixMilli(), Entry: o.cfg.Self, By: by.String(),
		Action: audit.ForcePlacement, Outcome: audit.Accepted, Forced: true,
	}
	if by.Team != document.OperatorsTeam {
		row.Outcome = audit.Forbidden
		o.store.RecordAudit(row)
		refuse(w, http.StatusForbidden, audit.Forbidden, "only the operators team may force a placement")
		return
	}
	if !o.cfg.Control.ForceEpoch() {
		w.Header().Set("Retry-After", "1")
		refuse(w, http.StatusServiceUnavailable, audit.Unavailable, errBusy.Error())
		return
	}
	o.store.RecordAudit(row)
	writeOK(w, api.ChangeAnswer{ChangeID: row.ID})
}

// status answers with the state of the cell as this entry sees it: which document
// version and placement epoch each process acts under.
func (o *OperatorsHandler) status(w http.ResponseWriter, r *http.Request, _ document.Identity) {
	s, err := o.cfg.Control.Status(r.Context())
	if err != nil {
		w.Header().Set("Retry-After", "1")
		refuse(w, http.StatusServiceUnavailable, audit.Unavailable, err.Error())
		return
	}
	result := api.StatusAnswer{
		Cell: s.Cell, Entry: string(s.Self), Version: s.Newest.Version, Epoch: s.Newest.Epoch,
		Permits: s.Mode.String(), ConfirmedAgoMS: s.ConfirmedAgo.Milliseconds(), LocalFault: s.LocalFault,
	}
	for i := range s.Entries {
		result.Entries = append(result.Entries, entryStatus(&s.Entries[i]))
	}
	for i := range s.Agents {
		result.Agents = append(result.Agents, agentStatus(&s.Agents[i]))
	}
	for _, p := range slices.Concat(result.Entries, result.Agents) {
		if p.Behind {
			result.Behind++
		}
	}
	result.Domains = o.domains(s.Agents)
	writeOK(w, result)
}

func entryStatus(e *control.EntryStatus) api.ProcessStatus {
	return api.ProcessStatus{
		Incarnation: string(e.Incarnation), Address: e.Address, Domain: string(e.Domain),
		Version: e.State.Version, Epoch: e.State.Epoch, Behind: e.Behind, HeardAgoMS: e.HeardAgo.Milliseconds(),
	}
}

func agentStatus(a *control.AgentStatus) api.ProcessStatus {
	return api.ProcessStatus{
		Incarnation: string(a.Incarnation), Address: a.Address, Domain: string(a.Domain),
		Version: a.AppliedState.Version, Epoch: a.AppliedState.Epoch, HeardAgoMS: a.HeardAgo.Milliseconds(),
		Behind: a.Behind && a.State != membership.Gone, State: a.State.String(), Member: a.Member,
		OutOfService: a.OutOfService, Slots: a.Slots, Free: a.Free, Running: a.Running, Queued: a.Queued, Jobs: a.Jobs,
	}
}

// domains sums up the agents of each failure domain, and lists the domains of the
// document that have no agents as well.
func (o *OperatorsHandler) domains(agents []control.AgentStatus) []api.DomainStatus {
	view := o.cfg.Control.View()
	sums := make(map[ident.FailureDomain]*api.DomainStatus)
	sum := func(d ident.FailureDomain) *api.DomainStatus {
		if sums[d] == nil {
			c := view.Domain(d)
			sums[d] = &api.DomainStatus{Domain: string(d), State: c.State, Reason: c.Reason}
		}
		return sums[d]
	}
	for _, d := range view.Domains() {
		sum(d)
	}
	for i := range agents {
		a := &agents[i]
		if a.State == membership.Gone {
			continue
		}
		s := sum(a.Domain)
		s.Agents++
		s.Slots += a.Slots
		s.Free += a.Free
		s.Running += a.Running
	}
	var out []api.DomainStatus
	for _, d := range slices.Sorted(maps.Keys(sums)) {
		out = append(out, *sums[d])
	}
	return out
}
