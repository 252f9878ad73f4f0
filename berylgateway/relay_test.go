package berylgateway

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"berylglade/berylbook"
	"berylglade/berylclock"
	"berylglade/berylreport"
	"berylglade/berylroom"
	"berylglade/berylrpc"
)

// serveAgent serves a fake agent that counts the starts it is ordered.
func serveAgent(t *testing.T, starts *atomic.Int32) net.Listener {
	lis := listen(t)
	var s berylrpc.Server
	berylrpc.Handle(&s, berylreport.MethodOrders, func(_ context.Context, o *berylreport.Orders) (*berylreport.Receipt, error) {
		starts.Add(int32(len(o.Start)))
		return &berylreport.Receipt{Epoch: o.Epoch}, nil
	})
	go func() { _ = s.Serve(t.Context(), lis) }()
	return lis
}

// Guards against an entry that only names the leader to an agent that can't reach it,
// against a report that is relayed without the agent's request, and against orders that
// don't take the way of the report.
func TestRelaysReportsAndOrders(t *testing.T) {
	is := is.New(t)
	entries := startEntries(t, newMemory(), 3)
	lead := leader(entries)
	var relay *testEntry
	for _, e := range entries {
		if e != lead {
			relay = e
		}
	}
	await(t, time.Second, "the leader's address", func() bool { return relay.View.Claim().Addr == lead.cfg.Self.Addr })
	var starts atomic.Int32
	agent := serveAgent(t, &starts)
	report := berylreport.Report{
		Node: "n1", Addr: agent.Addr().String(), Seq: 1, Boot: 1, Service: "s", Listed: true,
		Incarnation: berylbook.Incarnation{Node: "n1", Instance: "i", StartedAt: 1},
		Capacity:    berylroom.Resources{Millicores: 1, Accelerators: 1},
	}
	client := berylrpc.NewClosingClient()
	call := func(r berylreport.Report) *berylreport.Answer {
		a, err := berylrpc.Call[berylreport.Report, berylreport.Answer](t.Context(), client, relay.cfg.Self.Addr, berylreport.MethodReport, &r)
		is.NoErr(err)
		return a
	}
	is.True(!call(report).FromLeader)
	report.Relay = true
	answer := call(report)
	is.True(answer.FromLeader)
	is.Equal(answer.Leader, lead.cfg.Self.Addr)

	orders := berylreport.Orders{Epoch: answer.Epoch, Start: []berylreport.Start{{}}}
	_, err := lead.deliverOrders(t.Context(), agent.Addr().String(), relay.cfg.Self.Addr, orders)
	is.NoErr(err)
	is.Equal(starts.Load(), int32(1))
}

// Guards against a relay that was suspended and then passes an old report or old orders
// on, which the other side takes for current.
func TestSuspendedRelayPassesNothingOn(t *testing.T) {
	is := is.New(t)
	entries := startEntries(t, newMemory(), 2)
	lead := leader(entries)
	relay := entries[0]
	if relay == lead {
		relay = entries[1]
	}
	own := berylreport.Answer{Epoch: 1, Leader: lead.cfg.Self.Addr}
	clock := berylclock.System()
	late := clock().Add(-_relayTimeout - time.Millisecond)
	answer := relay.relayReport(t.Context(), late, berylreport.Report{Node: "n1", Seq: 1, Boot: 1}, own)
	is.True(!answer.FromLeader)
	var starts atomic.Int32
	agent := serveAgent(t, &starts)
	_, err := relay.relayOrders(t.Context(), late, &relayedOrders{
		Addr: agent.Addr().String(), Orders: berylreport.Orders{Epoch: 1, Start: []berylreport.Start{{}}},
	})
	is.True(err != nil)
	is.Equal(starts.Load(), int32(0))
}
