// Package berylstandrunner is a stand-in for a backend server.
//
// [Server] is an HTTP handler with a limited number of slots. Requests above
// them wait. Its ledger counts how often each request id and each body ran, so
// that a test can show that no request ran twice, not even under two ids.
// Faults are set at run time.
package berylstandrunner

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"berylglade/berylduration"
	"berylglade/berylrunner"
)

// _maxBody bounds the bytes of one request.
const _maxBody = 16 << 20

// _maxRunning bounds the requests that wait or run, each of which keeps its
// body in memory.
const _maxRunning = 4096

// Settings describe a backend server.
type Settings struct {
	// Slots is the number of requests that run at once, at least one.
	Slots int `json:"slots"`
	// ServiceTime is how long a request runs. A body that begins with a word such
	// as "run=200ms" replaces it.
	ServiceTime berylduration.Duration `json:"service"`
}

// Faults are what the server does wrong.
type Faults struct {
	// Delay is added to the time that a request runs.
	Delay berylduration.Duration `json:"delay,omitempty"`
	// FailStatus is the status of every answer; zero means no fault.
	FailStatus int `json:"fail,omitempty"`
	// Truncate ends the connection in the middle of the answer.
	Truncate bool `json:"truncate,omitempty"`
	// Close ends the connection after the request ran, without an answer.
	Close bool `json:"close,omitempty"`
	// Swap exchanges the whole answers, header included, of two requests that
	// wait for their answer at the same time. A request that finds no partner
	// within 100 ms gets its own answer.
	Swap bool `json:"swap,omitempty"`
	// Duplicate sends the answer twice on the same connection.
	Duplicate bool `json:"duplicate,omitempty"`
	// Every is the interval in requests between two that meet the faults; zero
	// means that every request does.
	Every int `json:"every,omitempty"`
	// Count is the number of requests after which the faults end; zero means
	// that they last until they are replaced.
	Count int `json:"count,omitempty"`
}

// Ledger is what ran so far.
type Ledger struct {
	// Counts is how often each request id ran.
	Counts map[string]int `json:"counts"`
	// Bodies is how often each body ran, by the digest of the body.
	Bodies map[string]int `json:"bodies"`
	// Running is the number of requests at the server now, waiting or not.
	Running int `json:"running"`
	// Peak is the largest value that Running had.
	Peak int `json:"peak"`
}

// Server is the stand-in.
type Server struct {
	mux      http.ServeMux
	settings Settings
	slots    chan struct{}

	mu     sync.Mutex
	faults Faults
	ledger Ledger
	// arrived is the number of requests since the faults were set.
	arrived int
	// partner waits for an answer to exchange; nil if none does.
	partner *swap
}

// answered is an answer with the id in its header.
type answered struct {
	id   string
	body []byte
}

// swap is a request that waits for a partner.
type swap struct {
	own   answered
	other chan answered
}

const (
	// _swapWait bounds the wait of a request for a partner.
	_swapWait = 100 * time.Millisecond
	// _duplicatePause is the pause between an answer and its duplicate.
	_duplicatePause = 10 * time.Millisecond
)

var _ http.Handler = (*Server)(nil)

// New returns a server without faults.
func New(settings Settings) *Server {
	s := &Server{
		settings: settings,
		slots:    make(chan struct{}, max(settings.Slots, 1)),
		ledger:   Ledger{Counts: map[string]int{}, Bodies: map[string]int{}},
	}
	s.mux.HandleFunc("POST /work", s.work)
	s.mux.HandleFunc("GET /ledger", s.getLedger)
	s.mux.HandleFunc("POST /faults", s.postFaults)
	return s
}

// Digest returns the digest of a body in the ledger.
func Digest(body []byte) string { return strconv.FormatUint(xxhash.Sum64(body), 16) }

// Answer returns the body that the server sends for a request.
func Answer(id string, body []byte) []byte {
	return []byte(id + " " + Digest(body) + " " + strconv.Itoa(len(body)) + "\n")
}

// Ledger returns a copy of the ledger.
func (s *Server) Ledger() Ledger {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.ledger
	l.Counts = maps.Clone(l.Counts)
	l.Bodies = maps.Clone(l.Bodies)
	return l
}

// SetFaults replaces the faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.arrived = 0
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

func (s *Server) work(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, _maxBody))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	id := r.Header.Get(berylrunner.HeaderID)
	if id == "" {
		http.Error(w, "header "+berylrunner.HeaderID+" is not set", http.StatusBadRequest)
		return
	}
	faults, ok := s.arrive()
	if !ok {
		http.Error(w, "too many requests wait", http.StatusServiceUnavailable)
		return
	}
	defer s.leave()
	s.slots <- struct{}{}
	defer func() { <-s.slots }()

	s.count(id, body)
	// A request that was accepted runs to its end even if the client is gone,
	// as a real one does.
	time.Sleep(s.duration(body) + faults.Delay.Std())
	a := answered{id: id, body: Answer(id, body)}
	if faults.Swap {
		a = s.exchange(a)
	}
	reply(w, a, faults)
}

// exchange returns the answer of another request that waits for one, or the
// request's own.
func (s *Server) exchange(own answered) answered {
	s.mu.Lock()
	if p := s.partner; p != nil {
		s.partner = nil
		s.mu.Unlock()
		p.other <- own
		return p.own
	}
	p := &swap{own: own, other: make(chan answered, 1)}
	s.partner = p
	s.mu.Unlock()
	select {
	case a := <-p.other:
		return a
	case <-time.After(_swapWait):
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.partner == p {
		s.partner = nil
		return own
	}
	return <-p.other
}

func reply(w http.ResponseWriter, a answered, faults Faults) {
	if faults.Close {
		hangUp(w)
		return
	}
	id, answer := a.id, a.body
	if faults.Duplicate {
		text := fmt.Appendf(nil, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", berylrunner.HeaderID, id, len(answer), answer)
		hangUp(w, text, text)
		return
	}
	w.Header().Set(berylrunner.HeaderID, id)
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	if faults.FailStatus != 0 {
		w.WriteHeader(faults.FailStatus)
	}
	if faults.Truncate {
		// net/http closes the connection if less than the announced length
		// was written.
		answer = answer[:len(answer)/2]
	}
	_, _ = w.Write(answer)
}

// hangUp sends raw answers and closes the connection. It pauses after each, so
// that the client can send its next request on the connection and may take the
// next answer for that request's.
func hangUp(w http.ResponseWriter, raw ...[]byte) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	for _, text := range raw {
		_, _ = conn.Write(text)
		time.Sleep(_duplicatePause)
	}
	_ = conn.Close()
}

// arrive counts a request and returns the faults that it meets, or false if too
// many requests wait.
func (s *Server) arrive() (Faults, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ledger.Running >= _maxRunning {
		return Faults{}, false
	}
	s.ledger.Running++
	s.ledger.Peak = max(s.ledger.Peak, s.ledger.Running)
	f := s.faults
	s.arrived++
	if f.Every > 1 && s.arrived%f.Every != 0 {
		return Faults{}, true
	}
	if f.Count == 1 {
		s.faults = Faults{}
	}
	if f.Count > 1 {
		s.faults.Count--
	}
	return f, true
}

func (s *Server) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ledger.Running--
}

func (s *Server) count(id string, body []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ledger.Counts[id]++
	s.ledger.Bodies[Digest(body)]++
}

func (s *Server) duration(body []byte) time.Duration {
	word, _, _ := strings.Cut(string(body[:min(len(body), 32)]), " ")
	if text, ok := strings.CutPrefix(word, "run="); ok {
		if d, err := time.ParseDuration(text); err == nil {
			return d
		}
	}
	return s.settings.ServiceTime.Std()
}

func (s *Server) getLedger(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(s.Ledger())
}

func (s *Server) postFaults(w http.ResponseWriter, r *http.Request) {
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, _maxBody))
	dec.DisallowUnknownFields()
	var f Faults
	if err := dec.Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
	w.WriteHeader(http.StatusNoContent)
}
