package berylstandrunner

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"berylglade/berylduration"
)

// Guards against a ledger that misses a run, and against faults that apply to
// more requests than their count.
func TestLedgerAndFaults(t *testing.T) {
	is := is.New(t)
	srv := httptest.NewServer(New(Settings{Slots: 2, ServiceTime: berylduration.Duration(20 * time.Millisecond)}))
	defer srv.Close()
	resp, err := http.Post(srv.URL+"/faults", "application/json", strings.NewReader(`{"fail": 500, "count": 1}`))
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusNoContent)
	resp.Body.Close()

	var wg sync.WaitGroup
	statuses := make(chan int, 4)
	for range 4 {
		wg.Go(func() {
			req, _ := http.NewRequest(http.MethodPost, srv.URL+"/work", strings.NewReader("x"))
			req.Header.Set("X-Request-Id", "a")
			resp, err := http.DefaultClient.Do(req)
			if err != nil {
				return
			}
			resp.Body.Close()
			statuses <- resp.StatusCode
		})
	}
	wg.Wait()
	close(statuses)
	failed := 0
	for status := range statuses {
		if status == http.StatusInternalServerError {
			failed++
		}
	}
	is.Equal(failed, 1)

	resp, err = http.Get(srv.URL + "/ledger")
	is.NoErr(err)
	defer resp.Body.Close()
	var l Ledger
	is.NoErr(json.NewDecoder(resp.Body).Decode(&l))
	is.Equal(l.Counts, map[string]int{"a": 4})
	is.Equal(l.Bodies, map[string]int{Digest([]byte("x")): 4})
	is.Equal(l.Running, 0)
}

// Guards against a swap that loses or repeats a reply, and against a request that
// waits forever for another one to swap with.
func TestSwap(t *testing.T) {
	is := is.New(t)
	server := New(Settings{Slots: 3})
	server.SetFaults(Faults{Swap: true})
	srv := httptest.NewServer(server)
	defer srv.Close()
	var wg sync.WaitGroup
	got := make([]string, 3)
	for i, id := range []string{"a", "b", "c"} {
		wg.Go(func() {
			req, _ := http.NewRequest(http.MethodPost, srv.URL+"/work", strings.NewReader("run=20ms "+id))
			req.Header.Set("X-Request-Id", id)
			resp, err := http.DefaultClient.Do(req)
			if err != nil {
				return
			}
			resp.Body.Close()
			got[i] = resp.Header.Get("X-Request-Id")
		})
	}
	wg.Wait()
	own := 0
	for i, id := range []string{"a", "b", "c"} {
		if got[i] == id {
			own++
		}
	}
	is.Equal(own, 1) // two requests are swapped, and the third gets its own reply
	slices.Sort(got)
	is.Equal(got, []string{"a", "b", "c"})
}
