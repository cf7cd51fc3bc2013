package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// origin is the start of the program; all times are monotonic times since then.
var origin = time.Now()

func now() time.Duration { return time.Since(origin) }

// recorder writes what was sent, answered and run to the record file.
type recorder struct {
	mu   sync.Mutex
	file *os.File
}

func newRecorder(path string) (*recorder, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{file: f}, nil
}

func (r *recorder) add(format string, args ...any) { r.addAt(now(), format, args...) }

func (r *recorder) addAt(at time.Duration, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.3f %s\n", at.Seconds(), fmt.Sprintf(format, args...))
}
