package main

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"time"
	"unicode"
	"unicode/utf8"

	"foxtaildock.example/dock/api"
	"foxtaildock.example/dock/job"
	"foxtaildock.example/dock/report"
)

// jobCommand shows one job.
type jobCommand struct {
	Key  string `arg:"positional,required" help:"the job's key"`
	Wait bool   `arg:"--wait" help:"wait until the job has an outcome"`
}

func (*jobCommand) examples() string {
	return `
  The state of a job:
    foxtaildock job book-7
  The answer, as soon as there is one:
    foxtaildock job book-7 --wait`
}

func (j *jobCommand) run(ctx context.Context, o *shared, c *console) (exitCode, error) {
	client, err := o.client(c)
	if err != nil {
		return 0, err
	}
	ask := client.State
	if j.Wait {
		ask = client.Wait
	}
	stop := c.whileWaiting("the answer")
	answer, err := ask(ctx, o.Team, j.Key)
	stop()
	if err != nil {
		return 0, err
	}
	return showAnswer(c, answer, 0)
}

// cancelCommand cancels one job.
type cancelCommand struct {
	Key string `arg:"positional,required" help:"the job's key"`
}

func (*cancelCommand) examples() string {
	return `
  Tasks that are already running are not stopped:
    foxtaildock cancel book-7`
}

func (k *cancelCommand) run(ctx context.Context, o *shared, c *console) (exitCode, error) {
	client, err := o.client(c)
	if err != nil {
		return 0, err
	}
	answer, err := client.Cancel(ctx, o.Team, k.Key)
	if err != nil {
		return 0, err
	}
	code, err := showAnswer(c, answer, 0)
	if answer.Reason == string(job.ReasonCancelled) {
		code = exitDone // cancelled, as requested
	}
	return code, err
}

// showAnswer shows an answer about a job. took is the time that the answer
// took, or 0 if it was not measured.
func showAnswer(c *console, a *api.JobAnswer, took time.Duration) (exitCode, error) {
	if c.json {
		return answerExit(a), c.printJSON(a)
	}
	p := c.printer()
	p.TextStyled(outcomeStyle(a.Outcome), outcomeWords(a.Outcome))
	p.Pair("job", a.Team+"/"+a.Key)
	if a.Reason != "" {
		explanation := report.Explain(job.Reason(a.Reason))
		p.Pair("why", a.Reason+": "+explanation.Meaning)
		if a.Detail != "" {
			p.Pair("detail", a.Detail)
		}
		if explanation.Remedy != "" {
			p.Pair("remedy", explanation.Remedy)
		}
	}
	if a.RetryAfterMS > 0 {
		p.Pair("retry in", (time.Duration(a.RetryAfterMS) * time.Millisecond).String())
	}
	if a.Total > 0 {
		p.Pair("tasks", fmt.Sprintf("%d, %d started, %d finished", a.Total, a.Started, a.Finished))
	}
	if took > 0 {
		p.Pair("took", took.Round(time.Millisecond).String())
	}
	if a.Home != "" {
		p.Pair("home", a.Home)
	}
	if len(a.Results) > 0 {
		p.Blank()
		p.Table(resultTable(a.Results))
	}
	return answerExit(a), nil
}

func outcomeWords(outcome string) string {
	switch outcome {
	case api.OutcomeRefused:
		return "refused (not run)"
	case api.OutcomeFailed:
		return "failed (may have run)"
	}
	return outcome
}

func outcomeStyle(outcome string) report.Style {
	switch outcome {
	case api.OutcomeComplete:
		return report.Good
	case api.OutcomeRefused:
		return report.Warn
	case api.OutcomeFailed:
		return report.Bad
	}
	return report.Plain
}

// maxShownResults is the largest number of results in the table. With --json all
// results are written.
const maxShownResults = 20

func resultTable(results []api.TaskResult) *report.Table {
	t := &report.Table{Columns: []report.Column{{Title: "task", Right: true}, {Title: "bytes", Right: true}, {Title: "result"}}}
	for i, r := range results {
		if i == maxShownResults {
			t.Add("", "", fmt.Sprintf("and %d more; see --json", len(results)-i))
			break
		}
		t.Add(strconv.Itoa(r.Index), strconv.Itoa(len(r.Body)), preview(r.Body))
	}
	return t
}

// preview returns the body as one line for the table of results. Text with
// characters that can't be printed is quoted.
func preview(body []byte) string {
	if !utf8.Valid(body) {
		return "(not text)"
	}
	text := strings.TrimSpace(string(body))
	for _, r := range text {
		if !unicode.IsPrint(r) {
			return strconv.Quote(text)
		}
	}
	return text
}
