// Package berylsink writes log lines without ever blocking its callers.
//
// A [Sink] holds a bounded number of lines. When its reader is slow, further
// lines are dropped and counted, and the count is written before the next line.
package berylsink

import (
	"fmt"
	"io"
	"log/slog"
	"sync/atomic"
	"time"
)

// Sink is an io.Writer for whole lines.
type Sink struct {
	lines   chan []byte
	dropped atomic.Int64
	total   atomic.Int64
	done    chan struct{}
}

// New starts a sink that writes to out.
func New(out io.Writer) *Sink {
	s := &Sink{lines: make(chan []byte, _lines), done: make(chan struct{})}
	go s.run(out)
	return s
}

// Logger returns a logger of JSON lines that have the given attributes.
func (s *Sink) Logger(args ...any) *slog.Logger {
	return slog.New(slog.NewJSONHandler(s, nil)).With(args...)
}

// Write queues one line. It never fails and never waits.
func (s *Sink) Write(line []byte) (int, error) {
	select {
	case s.lines <- append([]byte(nil), line...):
		s.total.Add(1)
	default:
		s.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines were dropped and not yet reported.
func (s *Sink) Dropped() int64 { return s.dropped.Load() }

// Close writes the lines that wait, for a short time at most.
func (s *Sink) Close() {
	close(s.lines)
	select {
	case <-s.done:
	case <-time.After(_closeTimeout):
	}
}

func (s *Sink) run(out io.Writer) {
	defer close(s.done)
	for line := range s.lines {
		if n := s.dropped.Swap(0); n > 0 {
			_, _ = fmt.Fprintf(out, "{\"msg\":\"log lines dropped\",\"lines\":%d}\n", n)
		}
		if _, err := out.Write(line); err != nil {
			// Nobody reads the log; there is no other place to say so.
			s.dropped.Add(1)
		}
	}
}

const (
	// _lines bounds the queue; a line has about 300 bytes.
	_lines        = 2048
	_closeTimeout = 200 * time.Millisecond
)
