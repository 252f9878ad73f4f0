package berylcontrol

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"berylglade/berylclock"
)

type add struct {
	n     int
	reply func(int)
}

// Guards against handling two messages concurrently: the sum has no lock, so it
// would be wrong and the race detector would report it.
func TestLoopHandlesOneMessageAtATime(t *testing.T) {
	is := is.New(t)
	sum := 0
	l := New(berylclock.System(), func(_ time.Time, msg add) {
		sum += msg.n
		if msg.reply != nil {
			msg.reply(sum)
		}
	})
	var wg sync.WaitGroup
	for range 50 {
		wg.Go(func() {
			l.Tell(add{n: 1})
		})
	}
	wg.Wait()
	got, err := Ask(context.Background(), l, func(reply func(int)) add { return add{reply: reply} })
	is.NoErr(err)
	is.Equal(got, 50)
	l.Stop()
}
