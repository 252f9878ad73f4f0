package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"sync"
	"time"
)

const (
	_recordBytes = 262_144
	_callBytes   = 2_097_152
	_pageItems   = 500
	_pageBytes   = 1 << 20
)

type record struct {
	key   string
	value []byte
}

type producerState struct {
	epoch, seq int64
	offsets    map[int64]int64
}

// store is a stand-in of the platform's store: keyed topics of one partition, with
// conditional, fenced and idempotent appends. It loses nothing and answers at once.
type store struct {
	mu        sync.Mutex
	topics    map[string][]record
	producers map[string]*producerState
	changed   chan struct{}
}

func newStore() *store {
	return &store{topics: map[string][]record{}, producers: map[string]*producerState{}, changed: make(chan struct{})}
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/log-append":
		s.append(w, r)
	case "/log-read":
		s.read(w, r)
	case "/log-newest":
		s.newest(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func answer(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func number(q url.Values, name string, otherwise int64) int64 {
	n, err := strconv.ParseInt(q.Get(name), 10, 64)
	if err != nil {
		return otherwise
	}
	return n
}

// decode returns the records of an append, or false if one of them is malformed or too
// large.
func decode(body []byte) ([]record, bool) {
	var records []record
	for len(body) > 0 {
		if len(body) < 5 {
			return nil, false
		}
		n := int(binary.BigEndian.Uint32(body))
		if n > _recordBytes || n+4 > len(body) || n < 1+int(body[4]) {
			return nil, false
		}
		k := int(body[4])
		records = append(records, record{key: string(body[5 : 5+k]), value: slices.Clone(body[5+k : 4+n])})
		body = body[4+n:]
	}
	return records, true
}

func (s *store) append(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	records, ok := decode(body)
	if !ok || len(body) > _callBytes {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	q := r.URL.Query()
	topic := q.Get("topic")
	if topic == "keyed.op" || topic == "keyed.servers" {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	end := int64(len(s.topics[topic]))
	epoch, seq := number(q, "epoch", 0), number(q, "seq", 0)
	var p *producerState
	if name := q.Get("producer"); name != "" {
		if p = s.producers[topic+"/"+name]; p == nil {
			p = &producerState{epoch: -1}
			s.producers[topic+"/"+name] = p
		}
		if epoch < p.epoch {
			answer(w, http.StatusConflict, map[string]any{"reason": "fenced"})
			return
		}
		if epoch == p.epoch {
			if first, ok := p.offsets[seq]; ok && seq > p.seq-5 {
				answer(w, http.StatusOK, map[string]any{"offset": first, "end": end})
				return
			}
			if seq != p.seq+1 {
				answer(w, http.StatusConflict, map[string]any{"reason": "seq", "expected": p.seq + 1})
				return
			}
		}
	}
	if at := number(q, "at", -1); at >= 0 && at != end {
		answer(w, http.StatusPreconditionFailed, map[string]any{"end": end})
		return
	}
	if p != nil {
		if epoch > p.epoch {
			p.offsets = map[int64]int64{}
		}
		p.epoch, p.seq = epoch, seq
		p.offsets[seq] = end
	}
	s.add(topic, records)
	answer(w, http.StatusOK, map[string]any{"offset": end, "end": len(s.topics[topic])})
}

// add appends records and wakes the reads that wait. The caller holds mu.
func (s *store) add(topic string, records []record) {
	s.topics[topic] = append(s.topics[topic], records...)
	close(s.changed)
	s.changed = make(chan struct{})
}

// put appends a record as the operator does.
func (s *store) put(topic, key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.add(topic, []record{{key: key, value: []byte(value)}})
}

func (s *store) from(topic string, from int64) ([]record, int64, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := s.topics[topic]
	return slices.Clone(all[min(from, int64(len(all))):]), int64(len(all)), s.changed
}

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	timeout := time.After(time.Duration(number(q, "waitMs", 0)) * time.Millisecond)
	limit := number(q, "maxKb", 1024) << 10
	for waiting := true; ; {
		records, end, changed := s.from(q.Get("topic"), number(q, "from", 0))
		if len(records) == 0 && waiting {
			select {
			case <-changed:
			case <-timeout:
				waiting = false
			case <-r.Context().Done():
				return
			}
			continue
		}
		out := binary.BigEndian.AppendUint64(nil, uint64(end))
		out = binary.BigEndian.AppendUint64(out, 0)
		for i, rec := range records {
			n := 1 + len(rec.key) + len(rec.value)
			if i > 0 && int64(len(out)+n) > limit {
				break
			}
			out = binary.BigEndian.AppendUint32(out, uint32(n))
			out = append(out, byte(len(rec.key)))
			out = append(out, rec.key...)
			out = append(out, rec.value...)
		}
		_, _ = w.Write(out)
		return
	}
}

func (s *store) newest(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	records, end, _ := s.from(q.Get("topic"), 0)
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int    `json:"offset"`
	}
	newest := map[string]item{}
	for i, rec := range records {
		if len(rec.value) == 0 {
			delete(newest, rec.key)
			continue
		}
		newest[rec.key] = item{Key: rec.key, Value: base64.StdEncoding.EncodeToString(rec.value), Offset: i}
	}
	items := []item{}
	size, more := 0, false
	for _, key := range slices.Sorted(maps.Keys(newest)) {
		if key <= q.Get("after") {
			continue
		}
		if len(items) == _pageItems || size+len(newest[key].Value) > _pageBytes {
			more = true
			break
		}
		size += len(newest[key].Value)
		items = append(items, newest[key])
	}
	answer(w, http.StatusOK, map[string]any{"items": items, "hasMore": more, "end": end})
}
