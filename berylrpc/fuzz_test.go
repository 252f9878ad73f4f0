package berylrpc

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"storj.io/drpc/drpcerr"
	"storj.io/drpc/drpcserver"

	"berylglade/berylerror"
	"berylglade/berylmessage"
)

func messages() []any {
	return []any{
		&berylmessage.Heartbeat{}, &berylmessage.HeartbeatReply{}, &berylmessage.ConfigRequest{},
		&berylmessage.ConfigReply{}, &berylmessage.PeerStatus{}, &berylmessage.PeerStatusReply{},
		&berylmessage.Run{}, &berylmessage.RunReply{}, &berylmessage.Find{},
		&berylmessage.FindReply{}, &berylmessage.Tombstone{}, &berylmessage.TombstoneReply{},
		&berylmessage.Drain{}, &berylmessage.Reserve{}, &berylmessage.ReserveReply{}, &berylmessage.Start{}, &berylmessage.Stop{},
		&berylmessage.Gang{}, &berylmessage.GangReply{},
	}
}

// FuzzDecode guards against panics, errors without a kind, and messages that can
// be decoded but not encoded again.
func FuzzDecode(f *testing.F) {
	for _, m := range messages() {
		data, err := encoding{}.Marshal(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		for _, m := range messages() {
			err := encoding{}.Unmarshal(data, m)
			if err != nil {
				if berylerror.Of(err) != berylerror.Invalid {
					t.Fatal(err)
				}
				continue
			}
			again, err := encoding{}.Marshal(m)
			if err == nil {
				err = encoding{}.Unmarshal(again, m)
			}
			if err != nil {
				t.Fatalf("%T: %v", m, err)
			}
		}
	})
}

// FuzzConnection guards against input that crashes the server or that keeps it
// from closing the connection.
func FuzzConnection(f *testing.F) {
	const _idle = 50 * time.Millisecond
	f.Add([]byte("GET / HTTP/1.1\r\n\r\n"))
	// A message precedes the request that it belongs to. The server then closes
	// the connection only after the idle timeout, although the client has closed
	// it.
	f.Add([]byte("1\x01\x01\ttombs\x85one"))
	f.Add([]byte{3, 1, 1, 9, 't', 'o', 'm', 'b', 's', 't', 'o', 'n', 'e', 5, 1, 2, 1, 0xa0})
	f.Fuzz(func(t *testing.T, data []byte) {
		var s Server
		Handle(&s, berylmessage.MethodTombstone, func(context.Context, *berylmessage.Tombstone) (*berylmessage.TombstoneReply, error) {
			return &berylmessage.TombstoneReply{}, nil
		})
		near, far := net.Pipe()
		done := make(chan struct{})
		go func() {
			defer close(done)
			srv := drpcserver.NewWithOptions(&s, drpcserver.Options{Manager: managerOptions(_idle)})
			_ = srv.ServeOne(context.Background(), far)
		}()
		_ = near.SetDeadline(time.Now().Add(time.Second))
		go func() {
			buf := make([]byte, 512)
			for {
				if _, err := near.Read(buf); err != nil {
					return
				}
			}
		}()
		_, _ = near.Write(data)
		_ = near.Close()
		select {
		case <-done:
		case <-time.After(10 * time.Second):
			t.Fatal("server did not close the connection within 10 s")
		}
	})
}

// Guards against truncating an unknown error code to eight bits. It could be taken
// for another kind, such as notrun for a call that ran.
func TestCallErrorCodes(t *testing.T) {
	tests := []struct {
		name string
		give uint64
		want berylerror.Kind
	}{
		{name: "kind", give: uint64(berylerror.NotRun), want: berylerror.NotRun},
		{name: "above the list", give: uint64(berylerror.Unavailable) + 1, want: berylerror.Unknown},
		{name: "above eight bits", give: 256 + uint64(berylerror.NotRun), want: berylerror.Unknown},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			err := callError(drpcerr.WithCode(berylerror.Internal.Errorf("x"), tt.give), true, "a", berylmessage.MethodRun)
			is.Equal(berylerror.Of(err), tt.want)
			is.Equal(Remote(err), tt.want != berylerror.Unknown)
		})
	}
}
