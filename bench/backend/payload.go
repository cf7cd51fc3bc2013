package backend

// Headers of a request to the backend server. Its answer repeats them, so that
// an answer to another task can be told apart.
const (
	HeaderTeam  = "Dock-Team"
	HeaderJob   = "Dock-Job"
	HeaderIndex = "Dock-Index"
	// HeaderNotStarted is set to "true" on an answer that promises that the
	// task was not started.
	HeaderNotStarted = "Dock-Not-Started"
)

// PathRun takes POST of a task's payload.
const PathRun = "/run"

// Payload is what the stand-in expects in a task's payload, in JSON.
type Payload struct {
	// RunMS is the run time of the task in milliseconds.
	RunMS float64 `json:"run_ms"`
	// Echo comes back in the answer.
	Echo string `json:"echo,omitempty"`
	// Fail makes this one task fail after its run time.
	Fail bool `json:"fail,omitempty"`
}

// Answer is the body of the answer to one task.
type Answer struct {
	Team  string `json:"team"`
	Job   string `json:"job"`
	Index int    `json:"index"`
	Echo  string `json:"echo"`
	// Server is the name of the backend server that ran the task.
	Server string `json:"server"`
}

// Announcement is what a backend server sends to its agent.
type Announcement struct {
	Services    []string `json:"services"`
	Address     string   `json:"address"`
	Slots       int      `json:"slots"`
	Connections int      `json:"connections"`
}
