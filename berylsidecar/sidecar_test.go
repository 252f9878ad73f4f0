package berylsidecar

import (
	"context"
	"log/slog"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"berylglade/berylbook"
	"berylglade/berylclock"
	"berylglade/berylexecutor"
	"berylglade/berylkeeper"
	"berylglade/berylregistry"
	"berylglade/berylreport"
	"berylglade/berylrpc"
	"berylglade/berylstore"
)

// server is a fake backend server without runs.
type server struct{ clock atomic.Int64 }

func (s *server) Do(context.Context, berylexecutor.Call) (berylexecutor.Listing, error) {
	return berylexecutor.Listing{Clock: s.clock.Add(1), StartedAt: 5}, nil
}

// topic is a fake store that accepts appends and returns no records.
type topic struct{ appends atomic.Int64 }

func (s *topic) Append(context.Context, berylstore.Append) (int64, error) {
	return s.appends.Add(1), nil
}

func (s *topic) Read(context.Context, string, int64, time.Duration) (berylstore.Read, error) {
	return berylstore.Read{}, nil
}

func (s *topic) Limits() berylstore.Limits { return berylstore.DefaultLimits() }

func (s *topic) Newest(context.Context, string, string) (berylstore.Page, error) {
	return berylstore.Page{}, nil
}

// entry is a fake entry that answers reports with a fixed answer, or not at all.
type entry struct {
	addr    string
	reports atomic.Int64
}

func newEntry(t *testing.T, answer *berylreport.Answer) *entry {
	e := &entry{}
	e.addr = serve(t, func(s *berylrpc.Server) {
		berylrpc.Handle(s, berylreport.MethodReport, func(ctx context.Context, _ *berylreport.Report) (*berylreport.Answer, error) {
			e.reports.Add(1)
			if answer == nil {
				<-ctx.Done()
				return nil, ctx.Err()
			}
			a := *answer
			if a.FromLeader {
				a.Leader = e.addr
			}
			return &a, nil
		})
	})
	return e
}

func serve(t *testing.T, register func(s *berylrpc.Server)) string {
	var cfg net.ListenConfig
	lis, err := cfg.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var s berylrpc.Server
	register(&s)
	go func() { _ = s.Serve(t.Context(), lis) }()
	return lis.Addr().String()
}

// startAgent starts an agent whose backend server has sent a heartbeat, and returns
// the agent's address.
func startAgent(t *testing.T, seeds ...string) string { return startAgentOf(t, &server{}, seeds...) }

// startAgentOf starts an agent with the given connection to its backend server.
func startAgentOf(t *testing.T, e berylexecutor.Executor, seeds ...string) string {
	registry := &berylregistry.Registry{
		Store: &topic{}, Clock: berylclock.System(), Topic: "t", Log: slog.New(slog.DiscardHandler),
	}
	s := New(Config{
		Node: "a", Addr: "127.0.0.1:1", Boot: 1,
		Limits:   berylkeeper.Limits{LeaderTimeout: 3 * time.Second, Lease: 5 * time.Second, Poll: 100 * time.Millisecond},
		Executor: e, Clock: berylclock.System(), Log: slog.New(slog.DiscardHandler),
		Observe: func(string, error, time.Duration) {},
		Seeds:   seeds, Entries: registry, Agents: registry, ProducerName: "a/1",
	})
	s.Start(t.Context())
	go s.Run(t.Context())
	s.Heartbeat(berylkeeper.Heartbeat{Incarnation: berylbook.Incarnation{Instance: "i-1", StartedAt: 5}, Service: "s", Seq: 1, Clock: 1})
	return serve(t, s.Register)
}

func await(t *testing.T, limit time.Duration, what string, ok func() bool) {
	end := time.Now().Add(limit)
	for !ok() {
		if time.Now().After(end) {
			t.Fatalf("not within %v: %s", limit, what)
		}
		time.Sleep(time.Millisecond)
	}
}

// Guards against a new leader that gets no report until the report to the previous
// leader, whose machine has lost power, times out.
func TestReportsToAnnouncedLeaderImmediately(t *testing.T) {
	is := is.New(t)
	silent := newEntry(t, nil)
	next := newEntry(t, &berylreport.Answer{Epoch: 2, FromLeader: true})
	agent := startAgent(t, silent.addr)
	await(t, 2*time.Second, "report to the silent entry", func() bool { return silent.reports.Load() > 0 })
	client := berylrpc.NewClosingClient()
	began := time.Now()
	_, err := berylrpc.Call[berylreport.Lead, berylreport.Receipt](t.Context(), client, agent, berylreport.MethodLead,
		&berylreport.Lead{Epoch: 2, Leader: next.addr})
	is.NoErr(err)
	await(t, _reportTimeout/2, "report to the new leader", func() bool { return next.reports.Load() > 0 })
	t.Logf("reported after %v", time.Since(began))
}

// Guards against an agent that waits for the full report interval each time an entry
// does not know the leader.
func TestTriesNextEntryWithoutWaiting(t *testing.T) {
	var seeds []string
	for range 4 {
		seeds = append(seeds, newEntry(t, &berylreport.Answer{Epoch: 1}).addr)
	}
	leader := newEntry(t, &berylreport.Answer{Epoch: 1, FromLeader: true})
	startAgent(t, append(seeds, leader.addr)...)
	await(t, 4*_reportInterval, "report to the leader behind four entries", func() bool { return leader.reports.Load() > 0 })
}

// Guards against an agent that returns to a leader with a lower epoch because of a
// delayed announcement.
func TestIgnoresLeaderWithLowerEpoch(t *testing.T) {
	is := is.New(t)
	newer := newEntry(t, &berylreport.Answer{Epoch: 3, FromLeader: true})
	older := newEntry(t, &berylreport.Answer{Epoch: 2, FromLeader: true})
	agent := startAgent(t, newer.addr)
	await(t, 2*time.Second, "report to the leader", func() bool { return newer.reports.Load() > 0 })
	time.Sleep(_reportInterval / 2)
	_, err := berylrpc.Call[berylreport.Lead, berylreport.Receipt](t.Context(), berylrpc.NewClosingClient(), agent, berylreport.MethodLead,
		&berylreport.Lead{Epoch: 2, Leader: older.addr})
	is.NoErr(err)
	time.Sleep(_reportInterval + 2*_tickInterval)
	is.Equal(older.reports.Load(), int64(0))
}
