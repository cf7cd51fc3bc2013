// Package telemetry provides the observability of the entry and agent processes: logs
// as JSON lines, OpenTelemetry metrics with a Prometheus endpoint, and the endpoints
// for the platform's liveness and readiness checks.
package telemetry

import (
	"fmt"
	"io"

	"github.com/apex/log"
	jsonlog "github.com/apex/log/handlers/json"
)

// Role is the role of the process in logs and metrics.
type Role string

// The roles.
const (
	RoleEntry Role = "entry"
	RoleAgent Role = "agent"
)

// Logger writes JSON lines. It is safe for concurrent use.
type Logger struct {
	sink   *log.Logger
	common []Field
}

// NewLogger returns a logger that writes lines of the level and above. It returns an
// error if the level isn't debug, info, warn or error.
func NewLogger(role Role, level string, w io.Writer) (*Logger, error) {
	lowest, err := log.ParseLevel(level)
	if err != nil {
		return nil, fmt.Errorf("log level %q, want debug, info, warn or error: %w", level, err)
	}
	sink := &log.Logger{Handler: jsonlog.New(w), Level: lowest}
	return &Logger{sink: sink, common: []Field{{name: "role", value: string(role)}}}, nil
}

// Discard returns a logger that discards all lines.
func Discard() *Logger {
	return &Logger{sink: &log.Logger{Handler: log.HandlerFunc(discardEntry), Level: log.FatalLevel}}
}

func discardEntry(*log.Entry) error { return nil }

// With returns a logger that adds the fields to every line.
func (l *Logger) With(fields ...Field) *Logger {
	common := append(l.common[:len(l.common):len(l.common)], fields...)
	return &Logger{sink: l.sink, common: common}
}

// DebugEnabled reports whether debug lines are written, so that callers needn't
// compute fields of lines that aren't.
func (l *Logger) DebugEnabled() bool { return l.sink.Level <= log.DebugLevel }

// Debug writes a line for developers, about one job or message.
func (l *Logger) Debug(message string, fields ...Field) {
	if e := l.entry(log.DebugLevel, fields); e != nil {
		e.Debug(message)
	}
}

// Info writes a line about a change that an operator may look for later.
func (l *Logger) Info(message string, fields ...Field) {
	if e := l.entry(log.InfoLevel, fields); e != nil {
		e.Info(message)
	}
}

// Warn writes a line about a fault that the system handled by itself.
func (l *Logger) Warn(message string, fields ...Field) {
	if e := l.entry(log.WarnLevel, fields); e != nil {
		e.Warn(message)
	}
}

// Error writes a line about a fault that needs an operator.
func (l *Logger) Error(message string, fields ...Field) {
	if e := l.entry(log.ErrorLevel, fields); e != nil {
		e.Error(message)
	}
}

// entry builds the line. It returns nil if the level isn't written.
func (l *Logger) entry(level log.Level, fields []Field) *log.Entry {
	if level < l.sink.Level {
		return nil
	}
	merged := make(log.Fields, len(l.common)+len(fields))
	for _, f := range l.common {
		merged[f.name] = f.value
	}
	for _, f := range fields {
		f.addTo(merged)
	}
	return l.sink.WithFields(merged)
}
