package berylsidecar

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"berylglade/berylreport"
	"berylglade/berylrpc"
)

// The failure domains of the agent and of the leader are cut off from each other; an
// entry in a third one reaches both. Guards against an agent without a leader, whose
// backend server gets no orders and whose leases lapse, and against one that does not
// return to the leader when it can be reached again.
func TestReportsThroughRelayDuringCut(t *testing.T) {
	is := is.New(t)
	var cut atomic.Bool
	var direct, relayed atomic.Int64
	cut.Store(true)
	var leader string
	leader = serve(t, func(s *berylrpc.Server) {
		berylrpc.Handle(s, berylreport.MethodReport, func(ctx context.Context, _ *berylreport.Report) (*berylreport.Answer, error) {
			if cut.Load() {
				<-ctx.Done()
				return nil, ctx.Err()
			}
			direct.Add(1)
			return &berylreport.Answer{Epoch: 1, Leader: leader, FromLeader: true}, nil
		})
	})
	sameZone := newEntry(t, &berylreport.Answer{Epoch: 1, Leader: leader})
	third := serve(t, func(s *berylrpc.Server) {
		berylrpc.Handle(s, berylreport.MethodReport, func(_ context.Context, r *berylreport.Report) (*berylreport.Answer, error) {
			if r.Relay {
				relayed.Add(1)
			}
			return &berylreport.Answer{Epoch: 1, Leader: leader, FromLeader: r.Relay}, nil
		})
	})
	startAgent(t, sameZone.addr, third)
	await(t, 3*time.Second, "a relayed report", func() bool { return relayed.Load() > 0 })
	before := relayed.Load()
	time.Sleep(4 * _reportInterval)
	is.True(relayed.Load() >= before+2)
	cut.Store(false)
	await(t, _directInterval+2*time.Second, "a direct report", func() bool { return direct.Load() > 0 })
}
