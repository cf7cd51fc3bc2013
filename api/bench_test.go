package api

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http/httptest"
	"testing"

	"foxtaildock.example/dock/ident"
	"foxtaildock.example/dock/job"
)

// Sizes of the benchmarks: benchmarkTasks has the numbers of tasks per job,
// benchmarkPayload is the size of one payload in bytes.
var benchmarkTasks = []int{1, 10, 100, 1000}

const benchmarkPayload = 64

func benchmarkBody(b *testing.B, tasks int) []byte {
	r := testJob()
	r.FirstAttemptAt = testNow
	r.Tasks = nil
	for i := range tasks {
		r.Tasks = append(r.Tasks, TaskRequest{Index: i, Payload: make([]byte, benchmarkPayload), DeclaredRunMS: 100})
	}
	body, err := json.Marshal(r)
	if err != nil {
		b.Fatal(err)
	}
	return body
}

func BenchmarkDecodeJob(b *testing.B) {
	for _, tasks := range benchmarkTasks {
		body := benchmarkBody(b, tasks)
		b.Run(fmt.Sprintf("tasks=%d", tasks), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, _, p := DecodeJob(bytes.NewReader(body), testNow); p != nil {
					b.Fatal(p)
				}
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*tasks), "ns/task")
		})
	}
}

func BenchmarkWriteOutcome(b *testing.B) {
	for _, tasks := range benchmarkTasks {
		o := job.Outcome{Kind: job.Complete, Results: make([]job.Result, tasks)}
		for i := range o.Results {
			o.Results[i] = job.Result{Index: i, Body: make([]byte, benchmarkPayload)}
		}
		b.Run(fmt.Sprintf("tasks=%d", tasks), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if err := WriteOutcome(httptest.NewRecorder(), ident.JobKey{Team: "tills", Key: "k"}, &o); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*tasks), "ns/task")
		})
	}
}
