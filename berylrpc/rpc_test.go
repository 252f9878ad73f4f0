package berylrpc

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"berylglade/berylerror"
	"berylglade/berylmessage"
)

func serve(t *testing.T, f func(context.Context, *berylmessage.Tombstone) (*berylmessage.TombstoneReply, error)) string {
	t.Helper()
	is := is.New(t)
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	var s Server
	Handle(&s, berylmessage.MethodTombstone, f)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = s.Serve(ctx, lis)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return lis.Addr().String()
}

// Guards against losing the kind of a remote error: a caller would get "unknown"
// for a call that was rejected.
func TestCallKinds(t *testing.T) {
	tests := []struct {
		name string
		give error
		want berylerror.Kind
	}{
		{name: "ok"},
		{name: "rejected", give: berylerror.NotRun.Errorf("draining"), want: berylerror.NotRun},
		{name: "missing", give: berylerror.Missing.Errorf("no call"), want: berylerror.Missing},
		{name: "internal", give: context.DeadlineExceeded, want: berylerror.Internal},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			addr := serve(t, func(_ context.Context, req *berylmessage.Tombstone) (*berylmessage.TombstoneReply, error) {
				return &berylmessage.TombstoneReply{Confirmed: req.Call == "c"}, tt.give
			})
			c := NewClient()
			defer func() { _ = c.Close() }()
			resp, err := Call[berylmessage.Tombstone, berylmessage.TombstoneReply](
				context.Background(), c, addr, berylmessage.MethodTombstone, &berylmessage.Tombstone{Call: "c"})
			if tt.want == 0 {
				is.NoErr(err)
				is.True(resp.Confirmed)
				return
			}
			is.Equal(berylerror.Of(err), tt.want)
		})
	}
}

// Guards against a malformed message that ends the whole process because the function
// that handles it panics.
func TestPanicFailsOnlyItsCall(t *testing.T) {
	is := is.New(t)
	addr := serve(t, func(_ context.Context, req *berylmessage.Tombstone) (*berylmessage.TombstoneReply, error) {
		if req.Call == "malformed" {
			panic("index out of range")
		}
		return &berylmessage.TombstoneReply{Confirmed: true}, nil
	})
	c := NewClient()
	defer func() { _ = c.Close() }()
	call := func(name string) error {
		_, err := Call[berylmessage.Tombstone, berylmessage.TombstoneReply](
			context.Background(), c, addr, berylmessage.MethodTombstone, &berylmessage.Tombstone{Call: name})
		return err
	}
	is.Equal(berylerror.Of(call("malformed")), berylerror.Internal)
	is.NoErr(call("c"))
}

// Guards against reporting "not run" for a request that was sent, and "unknown"
// for one that was not.
func TestCallTransportFailures(t *testing.T) {
	is := is.New(t)
	c := NewClient()
	defer func() { _ = c.Close() }()

	_, err := Call[berylmessage.Tombstone, berylmessage.TombstoneReply](
		context.Background(), c, "127.0.0.1:1", berylmessage.MethodTombstone, &berylmessage.Tombstone{})
	is.Equal(berylerror.Of(err), berylerror.NotRun)

	addr := serve(t, func(ctx context.Context, _ *berylmessage.Tombstone) (*berylmessage.TombstoneReply, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	})
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	_, err = Call[berylmessage.Tombstone, berylmessage.TombstoneReply](
		ctx, c, addr, berylmessage.MethodTombstone, &berylmessage.Tombstone{})
	is.Equal(berylerror.Of(err), berylerror.Unknown)
}
