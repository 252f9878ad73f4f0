package berylsink

import (
	"bytes"
	"io"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against log lines that exhaust the memory, with texts that clients choose,
// while the reader of the log is slow, and against lines that are lost after that.
func TestQueueIsBounded(t *testing.T) {
	is := is.New(t)
	r, w := io.Pipe()
	s := New(w)
	line := []byte(strings.Repeat("x", 16<<10) + "\n")
	const lines = 1000
	for range lines {
		n, err := s.Write(line)
		is.NoErr(err)
		is.Equal(n, len(line))
	}
	is.True(s.queued.Load() <= _maxBytes)
	kept := s.total.Load()
	is.Equal(kept+s.Dropped(), int64(lines))
	read := make(chan []byte, 1)
	go func() {
		data, _ := io.ReadAll(r)
		read <- data
	}()
	close(s.lines)
	<-s.done
	_ = w.Close()
	is.Equal(int64(bytes.Count(<-read, line)), kept)
	is.Equal(s.queued.Load(), int64(0))
}
