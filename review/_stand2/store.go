package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// store is a stand-in of the platform's store with keyed topics of one partition. Its
// limits are those of the settings that the processes get.
type store struct {
	mu     sync.Mutex
	topics map[string]*topic
	// down makes the store answer 503 to every call, slow delays each answer.
	down bool
	slow time.Duration
	rec  *recorder
}

type topic struct {
	records   []storeRecord
	newest    map[string]int
	producers map[string]*storeProducer
	// busyUntil is when the appends that were accepted so far are done.
	busyUntil time.Time
	grown     chan struct{}
}

type storeRecord struct {
	key   string
	value []byte
}

type storeProducer struct {
	epoch, seq int64
	offsets    map[int64]int64
}

const (
	recordBytes = 262144
	callBytes   = 2097152
	appendTime  = 2 * time.Millisecond
	answerTime  = 4 * time.Millisecond
)

func newStore(rec *recorder) *store { return &store{topics: map[string]*topic{}, rec: rec} }

func (s *store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: map[string]int{}, producers: map[string]*storeProducer{}, grown: make(chan struct{})}
		s.topics[name] = t
	}
	return t
}

func (t *topic) add(r storeRecord) {
	t.records = append(t.records, r)
	if len(r.value) == 0 {
		delete(t.newest, r.key)
	} else {
		t.newest[r.key] = len(t.records) - 1
	}
}

func (t *topic) wake() {
	close(t.grown)
	t.grown = make(chan struct{})
}

// put writes a record as the operator does.
func (s *store) put(name, key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	t.add(storeRecord{key, []byte(value)})
	t.wake()
}

func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

func (s *store) setSlow(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slow = d
}

func (s *store) state() (bool, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down, max(s.slow, answerTime)
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	down, delay := s.state()
	if down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	time.Sleep(delay / 2)
	switch r.URL.Path {
	case "/log-append":
		s.append(w, r, delay/2)
	case "/log-read":
		s.read(w, r, delay/2)
	case "/log-newest":
		s.newest(w, r, delay/2)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func answer(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func number(r *http.Request, name string, otherwise int64) int64 {
	n, err := strconv.ParseInt(r.URL.Query().Get(name), 10, 64)
	if err != nil {
		return otherwise
	}
	return n
}

func (s *store) append(w http.ResponseWriter, r *http.Request, delay time.Duration) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	name := r.URL.Query().Get("topic")
	if name == "keyed.op" || name == "keyed.servers" {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	if len(body) > callBytes {
		s.rec.note("store", "append to %s of %d bytes refused with 413: more than %d bytes in one call", name, len(body), callBytes)
		answer(w, http.StatusRequestEntityTooLarge, map[string]any{"reason": "size"})
		return
	}
	var records []storeRecord
	for len(body) > 0 {
		if len(body) < 4 {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		n := int(binary.BigEndian.Uint32(body))
		body = body[4:]
		if n > recordBytes {
			s.rec.note("store", "append to %s refused with 413: a record of %d bytes, at most %d", name, n, recordBytes)
			answer(w, http.StatusRequestEntityTooLarge, map[string]any{"reason": "size"})
			return
		}
		if n > len(body) || n < 1 || 1+int(body[0]) > n {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		k := 1 + int(body[0])
		records = append(records, storeRecord{string(body[1:k]), append([]byte(nil), body[k:n]...)})
		body = body[n:]
	}
	s.mu.Lock()
	t := s.topic(name)
	now := time.Now()
	if t.busyUntil.Before(now) {
		t.busyUntil = now
	}
	if t.busyUntil.Sub(now) > 2*time.Second {
		s.mu.Unlock()
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	t.busyUntil = t.busyUntil.Add(appendTime)
	wait := t.busyUntil.Sub(now)
	s.mu.Unlock()
	time.Sleep(wait)
	status, reply := s.apply(t, r, records)
	time.Sleep(delay)
	answer(w, status, reply)
}

func (s *store) apply(t *topic, r *http.Request, records []storeRecord) (int, map[string]any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	end := int64(len(t.records))
	var p *storeProducer
	epoch, seq := number(r, "epoch", 0), number(r, "seq", 0)
	if id := r.URL.Query().Get("producer"); id != "" {
		if p = t.producers[id]; p == nil {
			p = &storeProducer{epoch: -1, seq: -1, offsets: map[int64]int64{}}
			t.producers[id] = p
		}
		switch {
		case epoch < p.epoch:
			return http.StatusConflict, map[string]any{"reason": "fenced"}
		case epoch == p.epoch && seq <= p.seq && seq > p.seq-5:
			if offset, ok := p.offsets[seq]; ok {
				return http.StatusOK, map[string]any{"offset": offset, "end": end}
			}
			return http.StatusConflict, map[string]any{"reason": "seq", "expected": p.seq + 1}
		case epoch == p.epoch && seq != p.seq+1:
			return http.StatusConflict, map[string]any{"reason": "seq", "expected": p.seq + 1}
		}
	}
	if at := number(r, "at", -1); at >= 0 && at != end {
		return http.StatusPreconditionFailed, map[string]any{"end": end}
	}
	if p != nil {
		if epoch > p.epoch {
			p.offsets = map[int64]int64{}
		}
		p.epoch, p.seq = epoch, seq
		p.offsets[seq] = end
	}
	for _, rec := range records {
		t.add(rec)
	}
	t.wake()
	return http.StatusOK, map[string]any{"offset": end, "end": len(t.records)}
}

func (s *store) read(w http.ResponseWriter, r *http.Request, delay time.Duration) {
	from := number(r, "from", 0)
	maxBytes := int(number(r, "maxKb", 1024)) << 10
	until := time.After(time.Duration(min(number(r, "waitMs", 0), 30000)) * time.Millisecond)
	for waiting := true; ; {
		s.mu.Lock()
		t := s.topic(r.URL.Query().Get("topic"))
		end, grown := int64(len(t.records)), t.grown
		var out []byte
		for i := from; i < end; i++ {
			rec := t.records[i]
			n := 1 + len(rec.key) + len(rec.value)
			if len(out) > 0 && len(out)+4+n > maxBytes {
				break
			}
			out = binary.BigEndian.AppendUint32(out, uint32(n))
			out = append(out, byte(len(rec.key)))
			out = append(out, rec.key...)
			out = append(out, rec.value...)
		}
		s.mu.Unlock()
		if len(out) > 0 || !waiting {
			time.Sleep(delay)
			head := binary.BigEndian.AppendUint64(nil, uint64(end))
			head = binary.BigEndian.AppendUint64(head, 0)
			_, _ = w.Write(append(head, out...))
			return
		}
		select {
		case <-grown:
		case <-until:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) newest(w http.ResponseWriter, r *http.Request, delay time.Duration) {
	s.mu.Lock()
	t := s.topic(r.URL.Query().Get("topic"))
	after := r.URL.Query().Get("after")
	var keys []string
	for k := range t.newest {
		if k > after {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	items := []map[string]any{}
	size, more := 0, false
	for _, k := range keys {
		v := t.records[t.newest[k]].value
		if len(items) == 500 || (size > 0 && size+len(v) > 1<<20) {
			more = true
			break
		}
		size += len(v)
		items = append(items, map[string]any{"key": k, "value": base64.StdEncoding.EncodeToString(v), "offset": t.newest[k]})
	}
	end := len(t.records)
	s.mu.Unlock()
	time.Sleep(delay)
	answer(w, http.StatusOK, map[string]any{"items": items, "hasMore": more, "end": end})
}
