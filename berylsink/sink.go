// Package berylsink provides a non-blocking writer for log lines.
//
// A [Sink] queues a bounded number of lines and bytes. When the queue is full because the
// reader of the log is slow, further lines are dropped and counted, and the count is
// written before the next line.
package berylsink

import (
	"fmt"
	"io"
	"log/slog"
	"sync/atomic"
	"time"
)

// Sink is an io.Writer that writes whole lines in the background.
type Sink struct {
	lines chan []byte
	// queued is the size of the queued lines in bytes.
	queued  atomic.Int64
	dropped atomic.Int64
	total   atomic.Int64
	done    chan struct{}
}

// New returns a sink that writes to out, and starts its goroutine.
func New(out io.Writer) *Sink {
	s := &Sink{lines: make(chan []byte, _maxLines), done: make(chan struct{})}
	go s.run(out)
	return s
}

// Logger returns a logger that writes JSON lines with the given attributes.
func (s *Sink) Logger(args ...any) *slog.Logger {
	return slog.New(slog.NewJSONHandler(s, nil)).With(args...)
}

// Write queues one line, or drops it if the queue is full. It never fails or blocks.
func (s *Sink) Write(line []byte) (int, error) {
	size := int64(len(line))
	if s.queued.Add(size) > _maxBytes {
		s.drop(size)
		return len(line), nil
	}
	select {
	case s.lines <- append([]byte(nil), line...):
		s.total.Add(1)
	default:
		s.drop(size)
	}
	return len(line), nil
}

func (s *Sink) drop(size int64) {
	s.queued.Add(-size)
	s.dropped.Add(1)
}

// Dropped returns the number of dropped lines that are not reported in the log yet.
func (s *Sink) Dropped() int64 { return s.dropped.Load() }

// Close writes the queued lines, but returns after _closeTimeout at the latest. The
// sink must not be used afterwards.
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
		s.queued.Add(-int64(len(line)))
		if n := s.dropped.Swap(0); n > 0 {
			_, _ = fmt.Fprintf(out, "{\"msg\":\"log lines dropped\",\"lines\":%d}\n", n)
		}
		if _, err := out.Write(line); err != nil {
			// The log can't be written, so there is no place to report the error.
			s.dropped.Add(1)
		}
	}
}

const (
	// _maxLines is the capacity of the queue; a line has about 300 bytes.
	_maxLines = 2048
	// _maxBytes bounds the queued lines in bytes: lines about requests have texts that
	// clients choose.
	_maxBytes     = 2 << 20
	_closeTimeout = 200 * time.Millisecond
)
