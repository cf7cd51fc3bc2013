package cluster

import (
	"os"
	"strings"
	"text/template"
)

// settingsMode is the permission of settings files.
const settingsMode = 0o600

// entrySettings fills entryTemplate.
type entrySettings struct {
	Domain, Cell                            string
	Callers, Operators, Internal, Metrics   string
	Platform, PlatformTimeout, Grace, Level string
	Bootstrap                               string
}

// agentSettings fills agentTemplate.
type agentSettings struct {
	Domain, Cell                            string
	Internal, Local, Metrics                string
	Platform, PlatformTimeout, Grace, Level string
	Seeds                                   []string
}

var entryTemplate = template.Must(template.New("entry").Parse(`# Settings of one entry, written by foxbench.

[process]
failure_domain = "{{.Domain}}"
cell = "{{.Cell}}"

[listen]
# the addresses of the callers' and the operators' interface
callers = "{{.Callers}}"
operators = "{{.Operators}}"
# agents and other entries
internal = "{{.Internal}}"
# /metrics, /livez and /readyz
metrics = "{{.Metrics}}"

[platform]
address = "{{.Platform}}"
timeout = "{{.PlatformTimeout}}"

[operators]
bootstrap_sha256 = "{{.Bootstrap}}"

[log]
level = "{{.Level}}"

[shutdown]
grace = "{{.Grace}}"
`))

var agentTemplate = template.Must(template.New("agent").Parse(`# Settings of one agent, written by foxbench.

[process]
failure_domain = "{{.Domain}}"
cell = "{{.Cell}}"

[listen]
# entries and other agents
internal = "{{.Internal}}"
# announcements of the backend server
local = "{{.Local}}"
# /metrics, /livez and /readyz
metrics = "{{.Metrics}}"

[platform]
address = "{{.Platform}}"
timeout = "{{.PlatformTimeout}}"

[entries]
# none: agents find the entries in the platform's table
seeds = [{{range $i, $s := .Seeds}}{{if $i}}, {{end}}"{{$s}}"{{end}}]

[log]
level = "{{.Level}}"

[shutdown]
grace = "{{.Grace}}"
`))

// writeSettings fills in the template and writes it to the path.
func writeSettings(path string, t *template.Template, values any) error {
	var text strings.Builder
	if err := t.Execute(&text, values); err != nil {
		return err
	}
	return os.WriteFile(path, []byte(text.String()), settingsMode)
}
