// Package berylstandrunner is a stand-in for a backend server.
//
// [Server] is an HTTP handler with a limited number of slots. Requests above
// them wait. Its ledger counts how often each request id ran, so that a test
// can show that no request ran twice. Faults are set at run time.
package berylstandrunner

import (
	"encoding/json"
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
	// Service is how long a request runs. A body that begins with a word such
	// as "run=200ms" replaces it.
	Service berylduration.Duration `json:"service"`
}

// Faults are what the server does wrong.
type Faults struct {
	// Delay is added to the time that a request runs.
	Delay berylduration.Duration `json:"delay,omitempty"`
	// Fail is the status of every answer; zero means no fault.
	Fail int `json:"fail,omitempty"`
	// Truncate ends the connection in the middle of the answer.
	Truncate bool `json:"truncate,omitempty"`
	// Close ends the connection after the request ran, without an answer.
	Close bool `json:"close,omitempty"`
	// Count is the number of requests after which the faults end; zero means
	// that they last until they are replaced.
	Count int `json:"count,omitempty"`
}

// Ledger is what ran so far.
type Ledger struct {
	// Counts is how often each request id ran.
	Counts map[string]int `json:"counts"`
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
}

var _ http.Handler = (*Server)(nil)

// New returns a server without faults.
func New(settings Settings) *Server {
	s := &Server{
		settings: settings,
		slots:    make(chan struct{}, max(settings.Slots, 1)),
		ledger:   Ledger{Counts: map[string]int{}},
	}
	s.mux.HandleFunc("POST /work", s.work)
	s.mux.HandleFunc("GET /ledger", s.getLedger)
	s.mux.HandleFunc("POST /faults", s.postFaults)
	return s
}

// Answer returns the body that the server sends for a request.
func Answer(id string, body []byte) []byte {
	sum := strconv.FormatUint(xxhash.Sum64(body), 16)
	return []byte(id + " " + sum + " " + strconv.Itoa(len(body)) + "\n")
}

// Ledger returns a copy of the ledger.
func (s *Server) Ledger() Ledger {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.ledger
	l.Counts = maps.Clone(l.Counts)
	return l
}

// SetFaults replaces the faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
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

	s.count(id)
	// A request that was accepted runs to its end even if the client is gone,
	// as a real one does.
	time.Sleep(s.duration(body) + faults.Delay.Std())
	reply(w, id, body, faults)
}

func reply(w http.ResponseWriter, id string, body []byte, faults Faults) {
	if faults.Close {
		hangUp(w)
		return
	}
	answer := Answer(id, body)
	w.Header().Set(berylrunner.HeaderID, id)
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	if faults.Fail != 0 {
		w.WriteHeader(faults.Fail)
	}
	if faults.Truncate {
		// net/http closes the connection if less than the announced length
		// was written.
		answer = answer[:len(answer)/2]
	}
	_, _ = w.Write(answer)
}

func hangUp(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
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

func (s *Server) count(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ledger.Counts[id]++
}

func (s *Server) duration(body []byte) time.Duration {
	word, _, _ := strings.Cut(string(body[:min(len(body), 32)]), " ")
	if text, ok := strings.CutPrefix(word, "run="); ok {
		if d, err := time.ParseDuration(text); err == nil {
			return d
		}
	}
	return s.settings.Service.Std()
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
