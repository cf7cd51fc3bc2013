package backend

// Headers of a request to the backend server. Its answer repeats them, so that the
// receiver can detect an answer to another task.
const (
	HeaderTeam  = "Dock-Team"
	HeaderJob   = "Dock-Job"
	HeaderIndex = "Dock-Index"
	// HeaderNotStarted is set to "true" on an answer to state that the task was
	// not started.
	HeaderNotStarted = "Dock-Not-Started"
)

// PathRun takes POST of a task's payload and runs the task.
const PathRun = "/run"

// Payload is the JSON payload of a task that the stand-in expects.
type Payload struct {
	// RunMS is the run time of the task in milliseconds.
	RunMS float64 `json:"run_ms"`
	// Echo is returned in the answer.
	Echo string `json:"echo,omitempty"`
	// Fail makes this task fail after its run time.
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

// Announcement is the message with which a backend server registers at its agent.
type Announcement struct {
	Services    []string `json:"services"`
	Address     string   `json:"address"`
	Slots       int      `json:"slots"`
	Connections int      `json:"connections"`
}
