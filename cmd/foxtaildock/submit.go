package main

import (
	"bytes"
	"context"
	"crypto/rand"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"foxtaildock.example/dock/api"
	"foxtaildock.example/dock/job"
)

// randomKeyLength is the number of characters in the random part of a key. They
// are base32 characters of 5 bits each, so the part has 80 random bits.
const randomKeyLength = 16

// submitCommand submits one job and waits for its answer.
type submitCommand struct {
	Service  string        `arg:"--service,required" help:"the service that runs the tasks"`
	Key      string        `arg:"--key" help:"the job's key; without it a random key is made and printed"`
	Again    time.Time     `arg:"--again" placeholder:"TIME" help:"resubmit a job: the time when its key was first sent, as printed then"`
	Deadline time.Duration `arg:"--deadline" default:"30s" help:"time for the whole job, at most 5m"`
	Run      time.Duration `arg:"--run" help:"the expected run time of one task"`
	Size     int           `arg:"--size" help:"the declared size of one task, in units such as accelerators"`
	Payloads []string      `arg:"--payload,separate" placeholder:"TEXT" help:"payload of one task; may be repeated"`
	Lines    string        `arg:"--lines" placeholder:"FILE" help:"file with the payload of one task on each line; - is standard input"`
	Files    []string      `arg:"positional" placeholder:"FILE" help:"files with the payload of one task each"`
}

func (*submitCommand) examples() string {
	return `
  One task, with a new random key:
    foxtaildock submit --service serials --payload '{"book":7}'
  A task for each line, as JSON for a program:
    foxtaildock submit --service quotes --lines parts.txt --json
  The same job again after a lost connection. The command
  attaches to the job, and no task is started twice:
    foxtaildock submit --service serials --payload '{"book":7}' \
      --key job-4f2a --again 2026-03-01T12:00:00.5Z`
}

func (s *submitCommand) run(ctx context.Context, o *shared, c *console) (exitCode, error) {
	client, err := o.client(c)
	if err != nil {
		return 0, err
	}
	request, err := s.request(o, c)
	if err != nil {
		return 0, err
	}
	c.note("key %s, first sent %s", request.Key, request.FirstAttemptAt.Format(time.RFC3339Nano))
	began := time.Now()
	stop := c.whileWaiting("the answer")
	answer, err := client.Submit(ctx, *request)
	stop()
	if err != nil {
		return 0, err
	}
	return showAnswer(c, answer, time.Since(began))
}

// request builds the job. Without --again it is a first attempt, even if a key
// is given.
func (s *submitCommand) request(o *shared, c *console) (*api.JobRequest, error) {
	payloads, err := s.payloads(c)
	if err != nil {
		return nil, err
	}
	if s.Key == "" && !s.Again.IsZero() {
		return nil, &usageError{"--again needs the --key that was sent then"}
	}
	r := &api.JobRequest{
		Team:           o.Team,
		Key:            s.Key,
		Service:        s.Service,
		DeadlineMS:     s.Deadline.Milliseconds(),
		FirstAttempt:   s.Again.IsZero(),
		FirstAttemptAt: s.Again,
	}
	if r.Key == "" {
		r.Key = "job-" + strings.ToLower(rand.Text()[:randomKeyLength])
	}
	if r.FirstAttemptAt.IsZero() {
		r.FirstAttemptAt = time.Now().UTC()
	}
	for i, p := range payloads {
		r.Tasks = append(r.Tasks, api.TaskRequest{Index: i, Payload: p, DeclaredRunMS: s.Run.Milliseconds(), Size: s.Size})
	}
	return r, nil
}

// payloads returns the payloads of all tasks: those of --payload, then the
// files, then the lines of --lines. It returns a *usageError for no or too many
// tasks.
func (s *submitCommand) payloads(c *console) ([][]byte, error) {
	var all [][]byte
	for _, text := range s.Payloads {
		all = append(all, []byte(text))
	}
	for _, name := range s.Files {
		body, err := os.ReadFile(name)
		if err != nil {
			return nil, fmt.Errorf("reading a payload: %w", err)
		}
		all = append(all, body)
	}
	lines, err := s.lines(c)
	if err != nil {
		return nil, err
	}
	all = append(all, lines...)
	if len(all) == 0 {
		return nil, &usageError{"a job has at least one task; use --payload, --lines or files"}
	}
	if len(all) > job.MaxTasks {
		return nil, &usageError{fmt.Sprintf("%d tasks; a job has at most %d", len(all), job.MaxTasks)}
	}
	return all, nil
}

func (s *submitCommand) lines(c *console) ([][]byte, error) {
	var text []byte
	var err error
	switch s.Lines {
	case "":
		return nil, nil
	case "-":
		text, err = io.ReadAll(c.in)
	default:
		text, err = os.ReadFile(s.Lines)
	}
	if err != nil {
		return nil, fmt.Errorf("reading payloads: %w", err)
	}
	return bytes.Split(bytes.TrimSuffix(text, []byte("\n")), []byte("\n")), nil
}
