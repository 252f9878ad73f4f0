package berylstandrunner

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"

	"berylglade/berylrunner"
)

// Guards against an unbounded queue, and against a rejected request that the
// ledger counts as run.
func TestRejectsAboveLimit(t *testing.T) {
	is := is.New(t)
	s := New(Settings{Slots: 1})
	s.ledger.Running = _maxRequests
	req := httptest.NewRequest(http.MethodPost, "/work", http.NoBody)
	req.Header.Set(berylrunner.HeaderID, "i")
	w := httptest.NewRecorder()
	s.ServeHTTP(w, req)
	is.Equal(w.Code, http.StatusServiceUnavailable)
	is.Equal(s.Ledger().Counts["i"], 0)
	is.Equal(s.Ledger().Running, _maxRequests)
}
