package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// store is a stand-in for the platform's store: keyed topics in memory, with the
// conditions, the producers and the answers that PROTOCOL.md describes.
type store struct {
	mu        sync.Mutex
	topics    map[string]*topic
	producers map[string]*producer
	// delay is the time of an answer.
	delay time.Duration
	// keep is how long a record that is not the newest of its key is kept.
	keep time.Duration
}

type topic struct {
	records []record
	// first is the offset of records[0].
	first   int64
	changed chan struct{}
}

type record struct {
	key   string
	value []byte
	at    time.Time
}

type producer struct {
	epoch, seq int64
	offsets    map[int64]int64
}

const (
	_pageItems   = 500
	_pageBytes   = 1 << 20
	_recordBytes = 262144
	_callBytes   = 2097152
)

func newStore() *store {
	return &store{topics: map[string]*topic{}, producers: map[string]*producer{}, delay: 4 * time.Millisecond, keep: 20 * time.Second}
}

func (s *store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{changed: make(chan struct{})}
		s.topics[name] = t
	}
	return t
}

// add appends records. The caller holds mu.
func (t *topic) add(records ...record) {
	t.records = append(t.records, records...)
	close(t.changed)
	t.changed = make(chan struct{})
}

func (t *topic) end() int64 { return t.first + int64(len(t.records)) }

// put writes a record as the operator does.
func (s *store) put(topic, key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topic(topic).add(record{key: key, value: []byte(value), at: time.Now()})
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	time.Sleep(s.delay)
	switch r.URL.Path {
	case "/log-append":
		s.append(w, r, body)
	case "/log-read":
		s.read(w, r)
	case "/log-newest":
		s.newest(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func queryInt(r *http.Request, name string, otherwise int64) int64 {
	n, err := strconv.ParseInt(r.URL.Query().Get(name), 10, 64)
	if err != nil {
		return otherwise
	}
	return n
}

func decodeRecords(body []byte) ([]record, bool) {
	var out []record
	if len(body) > _callBytes {
		return nil, false
	}
	for len(body) > 0 {
		if len(body) < 5 {
			return nil, false
		}
		n := int(binary.BigEndian.Uint32(body))
		body = body[4:]
		if n > len(body) || n > _recordBytes || n < 1 || 1+int(body[0]) > n {
			return nil, false
		}
		k := 1 + int(body[0])
		out = append(out, record{key: string(body[1:k]), value: slices.Clone(body[k:n]), at: time.Now()})
		body = body[n:]
	}
	return out, true
}

func (s *store) append(w http.ResponseWriter, r *http.Request, body []byte) {
	records, ok := decodeRecords(body)
	if !ok {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	name := r.URL.Query().Get("topic")
	if name == "keyed.op" || name == "keyed.servers" {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	end := t.end()
	var p *producer
	epoch, seq := queryInt(r, "epoch", 0), queryInt(r, "seq", 0)
	if id := r.URL.Query().Get("producer"); id != "" {
		p = s.producers[name+"/"+id]
		if p == nil {
			p = &producer{epoch: -1, offsets: map[int64]int64{}}
			s.producers[name+"/"+id] = p
		}
		offset, repeated := p.offsets[seq]
		switch {
		case epoch < p.epoch:
			writeJSON(w, http.StatusConflict, map[string]any{"reason": "fenced"})
			return
		case epoch == p.epoch && repeated && seq > p.seq-5:
			writeJSON(w, http.StatusOK, map[string]any{"offset": offset, "end": end})
			return
		case epoch == p.epoch && seq != p.seq+1:
			writeJSON(w, http.StatusConflict, map[string]any{"reason": "seq", "expected": p.seq + 1})
			return
		}
	}
	if at := queryInt(r, "at", -1); at >= 0 && at != end {
		writeJSON(w, http.StatusPreconditionFailed, map[string]any{"end": end})
		return
	}
	if p != nil {
		if epoch != p.epoch {
			p.offsets = map[int64]int64{}
		}
		p.epoch, p.seq = epoch, seq
		p.offsets[seq] = end
	}
	if len(records) > 0 {
		t.add(records...)
	}
	writeJSON(w, http.StatusOK, map[string]any{"offset": end, "end": t.end()})
}

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	from := queryInt(r, "from", 0)
	limit := int(queryInt(r, "maxKb", 1024)) << 10
	until := time.NewTimer(time.Duration(queryInt(r, "waitMs", 0)) * time.Millisecond)
	defer until.Stop()
	for {
		s.mu.Lock()
		t := s.topic(r.URL.Query().Get("topic"))
		end, first, changed := t.end(), t.first, t.changed
		var out []byte
		for i := max(from-first, 0); i < int64(len(t.records)); i++ {
			rec := t.records[i]
			n := 1 + len(rec.key) + len(rec.value)
			if len(out) > 0 && len(out)+n > limit {
				break
			}
			out = binary.BigEndian.AppendUint32(out, uint32(n))
			out = append(out, byte(len(rec.key)))
			out = append(append(out, rec.key...), rec.value...)
		}
		s.mu.Unlock()
		if from < first {
			writeJSON(w, http.StatusGone, map[string]any{"first": first})
			return
		}
		expired := false
		if len(out) == 0 {
			select {
			case <-changed:
				continue
			case <-until.C:
				expired = true
			case <-r.Context().Done():
				return
			}
		}
		if len(out) > 0 || expired {
			head := binary.BigEndian.AppendUint64(nil, uint64(end))
			head = binary.BigEndian.AppendUint64(head, uint64(first))
			_, _ = w.Write(append(head, out...))
			return
		}
	}
}

func (s *store) newest(w http.ResponseWriter, r *http.Request) {
	after := r.URL.Query().Get("after")
	s.mu.Lock()
	t := s.topics[r.URL.Query().Get("topic")]
	items, more, end := []map[string]any{}, false, int64(0)
	if t != nil {
		end = t.end()
		newest := map[string]int{}
		for i, rec := range t.records {
			if len(rec.value) == 0 {
				delete(newest, rec.key)
				continue
			}
			newest[rec.key] = i
		}
		keys := make([]string, 0, len(newest))
		for k := range newest {
			if k > after {
				keys = append(keys, k)
			}
		}
		slices.Sort(keys)
		size := 0
		for _, k := range keys {
			v := t.records[newest[k]].value
			if len(items) == _pageItems || len(items) > 0 && size+len(v) > _pageBytes {
				more = true
				break
			}
			size += len(v)
			items = append(items, map[string]any{"key": k, "value": base64.StdEncoding.EncodeToString(v), "offset": t.first + int64(newest[k])})
		}
	}
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "hasMore": more, "end": end})
}
