package berylgateway

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
)

// The store turns the leader away and answers its peers. Guards against a lead that goes
// to an entry on a small VM because it answered first: with 240 agents it has too little
// processor time, and starts are seconds late until the next election.
func TestLeadGoesToTheLargestPeer(t *testing.T) {
	peer := func(addr string, cores float64) successor {
		return successor{addr: addr, storeAnswer: storeAnswer{Cores: cores}}
	}
	tests := []struct {
		name    string
		answers []successor
		want    string
	}{
		{name: "small first", answers: []successor{peer("a", 0.192), peer("b", 0.8), peer("c", 0.192)}, want: "b"},
		{name: "large first", answers: []successor{peer("b", 0.8), peer("a", 0.192)}, want: "b"},
		{name: "unknown size", answers: []successor{peer("a", 0)}, want: "a"},
		{name: "no answer"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
			defer cancel()
			reached := make(chan successor, len(tt.answers))
			go func() {
				for _, s := range tt.answers {
					reached <- s
					time.Sleep(_probeGrace / 10)
				}
			}()
			s, ok := largest(ctx, reached)
			is.Equal(ok, tt.want != "")
			is.Equal(s.addr, tt.want)
		})
	}
}
