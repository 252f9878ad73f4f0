package berylentry

import (
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against a request header that exhausts the memory.
func TestOversizeHeaderIsRejected(t *testing.T) {
	is := is.New(t)
	e := startWithoutLog(t, testSettings("e1"))
	// net/http adds 4,096 bytes to the limit.
	for size, want := range map[int]int{_maxHeader / 2: http.StatusUnauthorized, _maxHeader + 8<<10: http.StatusRequestHeaderFieldsTooLarge} {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+e.HTTPAddr+"/v1/agents", http.NoBody)
		is.NoErr(err)
		req.Header.Set("X-Filler", strings.Repeat("x", size))
		resp, err := http.DefaultClient.Do(req)
		is.NoErr(err)
		_ = resp.Body.Close()
		is.Equal(resp.StatusCode, want)
	}
	http.DefaultClient.CloseIdleConnections()
}
