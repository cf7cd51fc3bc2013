package daemon

import (
	"os"
	"runtime"
	"runtime/debug"
	"time"

	"foxtaildock.example/dock/telemetry"
)

// buildText says for the log which build runs: when its file was written, for which processor,
// and the revision of its source, if the toolchain recorded one. A process may have been started
// from a file that is older than the source beside it.
func buildText() string {
	text := runtime.GOARCH
	if written, known := executableTime(); known {
		text += ", written " + written.UTC().Format(time.RFC3339)
	}
	info, known := debug.ReadBuildInfo()
	if !known {
		return text
	}
	for _, s := range info.Settings {
		switch {
		case s.Key == "vcs.revision":
			text += ", revision " + s.Value
		case s.Key == "vcs.modified" && s.Value == "true":
			text += ", modified"
		}
	}
	return text
}

// executableTime returns when the executable of the process was written. It returns false if that
// can't be found out.
func executableTime() (time.Time, bool) {
	path, err := os.Executable()
	if err != nil {
		return time.Time{}, false
	}
	file, err := os.Stat(path)
	if err != nil {
		return time.Time{}, false
	}
	return file.ModTime(), true
}

// buildField is the field of the line that a process writes at its start.
func buildField() telemetry.Field { return telemetry.Build(buildText()) }
