package api

import (
	"foxtaildock.example/dock/audit"
	"foxtaildock.example/dock/document"
	"foxtaildock.example/dock/ident"
)

// Paths of the operators' interface. Every request carries an operator token of
// a team in TokenHeader.
const (
	// PathDocument takes GET and answers with a DocumentAnswer.
	PathDocument = "/v1/document"
	// PathSection takes GET (a document.Section), PUT and DELETE (both with a
	// ChangeRequest, answered by a ChangeAnswer or a ChangeRefusal).
	PathSection = "/v1/document/{kind}/{subject}"
	// PathHistory takes GET with ?limit= and answers with a HistoryAnswer.
	PathHistory = "/v1/document/{kind}/{subject}/history"
	// PathCheck takes POST of a ChangeRequest with the query ?section= and
	// answers with a CheckAnswer. It changes nothing.
	PathCheck = "/v1/document-check"
	// PathWithdraw and PathRestore take POST of a ChangeRequest without text.
	PathWithdraw = "/v1/domains/{domain}/withdraw"
	PathRestore  = "/v1/domains/{domain}/restore"
	// PathDrain and PathUndrain take POST of a ChangeRequest without text. A
	// server is named by the address or the incarnation of the agent beside it.
	PathDrain   = "/v1/servers/{server}/drain"
	PathUndrain = "/v1/servers/{server}/undrain"
	// PathAudit takes GET with ?since= (RFC 3339), by, section, outcome and
	// limit, and answers with an AuditAnswer.
	PathAudit = "/v1/audit"
	// PathStatus takes GET and answers with a StatusAnswer.
	PathStatus = "/v1/status"
	// PathReport takes GET with ?since= and answers with a ReportAnswer.
	PathReport = "/v1/report"
	// PathForcePlacement takes POST. This entry then commits its next placement
	// epoch without the acknowledgements of agents, which agents that are off for
	// good can't give.
	PathForcePlacement = "/v1/placement/force"
)

// DocumentAnswer is the whole operators' document.
type DocumentAnswer struct {
	Version  ident.DocVersion   `json:"version"`
	Sections []document.Section `json:"sections"`
}

// ChangeRequest is the body of a request to change one section.
type ChangeRequest struct {
	// ChangeID is chosen by the client: the wall clock in milliseconds in 13
	// digits, a dash, and random letters. It makes the request idempotent: if
	// the answer was lost, the same request with the same id returns the outcome
	// of the change.
	ChangeID string `json:"change_id"`
	// Expect is the version of the section that the change was made from; 0
	// if there was no such section. Withdrawals, restores and drains may
	// leave it out, and then apply to the current version.
	Expect *ident.DocVersion `json:"expect,omitempty"`
	Text   string            `json:"text,omitempty"`
	// Reason is shown in the audit trail and in reports.
	Reason string `json:"reason,omitempty"`
	// Force commits the change without announcing it to the agents; otherwise
	// half of them must acknowledge the announcement. Use it only if the agents
	// that do not answer are off for good.
	Force bool `json:"force,omitempty"`
}

// ChangeAnswer says that a change was accepted.
type ChangeAnswer struct {
	ChangeID string        `json:"change_id"`
	Section  document.Name `json:"section"`
	// Version is the document version that the change created.
	Version ident.DocVersion `json:"version"`
	// Repeated is true if the change was already accepted by an earlier request.
	Repeated bool `json:"repeated,omitempty"`
}

// ChangeRefusal is the answer to a change or other request that was not accepted.
type ChangeRefusal struct {
	ChangeID string        `json:"change_id,omitempty"`
	Outcome  audit.Outcome `json:"outcome"`
	Error    string        `json:"error"`
	// MayBeAccepted is true if the platform's answer was lost, so that the
	// change may have been made. Send the request again with the same change id.
	MayBeAccepted bool               `json:"may_be_accepted,omitempty"`
	Problems      []document.Problem `json:"problems,omitempty"`
	// Winner is the section after the conflicting change that was accepted
	// first. Theirs is the line difference of that change, Yours that of the
	// refused one.
	Winner *document.Section `json:"winner,omitempty"`
	Theirs []document.Line   `json:"theirs,omitempty"`
	Yours  []document.Line   `json:"yours,omitempty"`
}

// CheckAnswer says what a change would do.
type CheckAnswer struct {
	// OK is true if the change would be accepted now.
	OK bool `json:"ok"`
	// Version is the version of the current section, or 0 if there is none.
	Version ident.DocVersion `json:"version"`
	// Refusal says why the change would be refused, if OK is false.
	Refusal *ChangeRefusal `json:"refusal,omitempty"`
	// Diff is the line difference from the current section to the changed one.
	Diff []document.Line `json:"diff,omitempty"`
}

// HistoryAnswer lists versions of a section, newest first.
type HistoryAnswer struct {
	Sections []document.Section `json:"sections"`
}

// AuditAnswer lists rows of the audit trail, newest first.
type AuditAnswer struct {
	Rows []audit.Row `json:"rows"`
}

// StatusAnswer is the state of a cell as one entry sees it: which document
// version and placement epoch each process acts under.
type StatusAnswer struct {
	Cell string `json:"cell"`
	// Entry is the incarnation of the entry that answers.
	Entry string `json:"entry"`
	// Version and Epoch are the newest that the entry knows of.
	Version ident.DocVersion `json:"version"`
	Epoch   ident.Epoch      `json:"epoch"`
	// Permits is the mode in which the entry grants permits: confirmed (it read
	// the platform recently), outage (it relies on another entry or on a
	// majority of the agents) or island (it grants none); see permit.Mode.
	Permits string `json:"permits"`
	// ConfirmedAgoMS is the age of the newest confirmation, in milliseconds.
	ConfirmedAgoMS int64 `json:"confirmed_ago_ms"`
	// LocalFault is true while most agents are silent to this entry at once, which
	// points to a fault of this entry.
	LocalFault bool `json:"own_fault,omitempty"`
	// Behind is the number of processes whose Behind is true.
	Behind  int             `json:"behind"`
	Entries []ProcessStatus `json:"entries"`
	Agents  []ProcessStatus `json:"agents"`
	Domains []DomainStatus  `json:"domains"`
}

// ProcessStatus is what an entry knows about one process.
type ProcessStatus struct {
	Incarnation string `json:"incarnation"`
	Address     string `json:"address"`
	Domain      string `json:"domain"`
	// Version and Epoch are those that the process acts under.
	Version ident.DocVersion `json:"version"`
	Epoch   ident.Epoch      `json:"epoch"`
	// Behind is true if the process doesn't act under the newest document
	// version and epoch yet.
	Behind bool `json:"behind,omitempty"`
	// HeardAgoMS is the time since the entry last heard from the process, in
	// milliseconds.
	HeardAgoMS int64 `json:"heard_ago_ms"`
	// The fields below are set for agents only.
	State        string `json:"state,omitempty"`
	Member       bool   `json:"member,omitempty"`
	OutOfService bool   `json:"out_of_service,omitempty"`
	Slots        int    `json:"slots,omitempty"`
	Free         int    `json:"free,omitempty"`
	Running      int    `json:"running,omitempty"`
	Queued       int    `json:"queued,omitempty"`
	Jobs         int    `json:"jobs,omitempty"`
}

// DomainStatus is the state of one failure domain, with sums over its agents.
type DomainStatus struct {
	Domain string               `json:"domain"`
	State  document.DomainState `json:"state"`
	Reason string               `json:"reason,omitempty"`
	// Agents is the number of agents that the entry does not count as gone. Slots
	// and Free are the sums of their slots and idle slots, and Running is the
	// number of tasks at their backend servers.
	Agents  int `json:"agents"`
	Slots   int `json:"slots"`
	Free    int `json:"free"`
	Running int `json:"running"`
}

// ReportAnswer summarizes which changes and jobs were accepted and which were
// refused, and why, per team and failure domain.
type ReportAnswer struct {
	// SinceUnix is the start of the reported time, in Unix seconds.
	SinceUnix int64 `json:"since_unix"`
	// Changes summarizes the audit trail.
	Changes []audit.Line `json:"changes"`
	// Jobs counts the answers to callers at this entry in the last hour. It is
	// empty if the entry does not count them.
	Jobs []JobTally `json:"jobs,omitempty"`
}

// JobTally counts the answers to one team with one outcome, reason and failure
// domain.
type JobTally struct {
	// Team is empty for callers without a valid token.
	Team string `json:"team"`
	// Domain is the failure domain of the agent that decided the outcome, or
	// empty if the entry did.
	Domain  string `json:"failure_domain,omitempty"`
	Outcome string `json:"outcome"`
	Reason  string `json:"reason,omitempty"`
	Count   int64  `json:"count"`
}
