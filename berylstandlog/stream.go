package berylstandlog

import (
	"slices"
	"sync"
	"time"

	"berylglade/beryllog"
)

const (
	// _maxEntries bounds the records in one reply.
	_maxEntries = 1000
	// _maxBytes bounds the record bytes in one reply, but for a single record.
	_maxBytes = 4 << 20
)

// Stats are counts since the start.
type Stats struct {
	// Appends counts accepted append requests, Records the records in them.
	Appends int64 `json:"appends"`
	Records int64 `json:"records"`
	// Refused counts append requests answered with 429 or 503.
	Refused int64 `json:"refused"`
	// Reads counts read requests, refused ones included.
	Reads int64 `json:"reads"`
	// Peak is the highest number of append requests that arrived in any one
	// second, refused ones included.
	Peak int `json:"peak"`
}

// state is everything that requests share.
type state struct {
	mu      sync.Mutex
	faults  Faults
	stats   Stats
	streams map[string]*stream
	// changed is closed and replaced when records or faults change.
	changed chan struct{}
	// arrived and accepted are the times of the last second's append requests.
	arrived  []time.Time
	accepted []time.Time
}

type stream struct {
	// first is the offset of records[0].
	first   int64
	records []kept
}

type kept struct {
	at   time.Time
	data []byte
}

// effect is what the faults do to one request.
type effect struct {
	refused     bool
	readDelay   time.Duration
	appendDelay time.Duration
}

type appended struct {
	offset  int64
	limited bool
	lost    bool
}

func (s *state) effect(client string) effect {
	return effect{
		refused:     s.faults.Down || slices.Contains(s.faults.RefuseClients, client),
		readDelay:   s.faults.ReadDelay.Std(),
		appendDelay: s.faults.AppendDelay.Std(),
	}
}

// arrive counts an append request.
func (s *state) arrive(now time.Time, client string) effect {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.arrived = append(lastSecond(s.arrived, now), now)
	s.stats.Peak = max(s.stats.Peak, len(s.arrived))
	f := s.effect(client)
	if f.refused {
		s.stats.Refused++
	}
	return f
}

// lastSecond drops the times that are a second or more before now.
func lastSecond(times []time.Time, now time.Time) []time.Time {
	n := 0
	for n < len(times) && now.Sub(times[n]) >= time.Second {
		n++
	}
	return times[n:]
}

func (s *state) append(now time.Time, settings Settings, name string, records [][]byte) appended {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.accepted = lastSecond(s.accepted, now)
	if settings.Rate > 0 && len(s.accepted) >= settings.Rate {
		s.stats.Refused++
		return appended{limited: true}
	}
	s.accepted = append(s.accepted, now)
	st := s.stream(name)
	res := appended{offset: st.next(), lost: s.faults.LoseReplies > 0}
	for _, data := range records {
		st.records = append(st.records, kept{at: now, data: data})
	}
	st.trim(now, settings)
	s.stats.Appends++
	s.stats.Records += int64(len(records))
	if res.lost {
		s.faults.LoseReplies--
	}
	s.wake()
	return res
}

func (s *state) startRead(client string) effect {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Reads++
	return s.effect(client)
}

// read returns the batch from an offset on, a channel that is closed at the
// next change, and whether the client is refused.
func (s *state) read(now time.Time, settings Settings, name string, from int64, client string) (beryllog.Batch, <-chan struct{}, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stream(name)
	st.trim(now, settings)
	return st.batch(from), s.changed, s.effect(client).refused
}

func (s *state) setFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.wake()
}

func (s *state) showFaults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

func (s *state) showStats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}

func (s *state) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *state) stream(name string) *stream {
	st, ok := s.streams[name]
	if !ok {
		st = &stream{first: 1}
		s.streams[name] = st
	}
	return st
}

func (st *stream) next() int64 { return st.first + int64(len(st.records)) }

// trim drops the records that retention no longer keeps.
func (st *stream) trim(now time.Time, settings Settings) {
	n := 0
	if settings.MaxRecords > 0 {
		n = max(0, len(st.records)-settings.MaxRecords)
	}
	if settings.Retention > 0 {
		for n < len(st.records) && now.Sub(st.records[n].at) >= settings.Retention.Std() {
			n++
		}
	}
	clear(st.records[:n])
	st.records = st.records[n:]
	st.first += int64(n)
}

func (st *stream) batch(from int64) beryllog.Batch {
	b := beryllog.Batch{First: st.first, Next: st.next()}
	size := 0
	for o := max(from, st.first); o < b.Next && len(b.Entries) < _maxEntries; o++ {
		data := st.records[o-st.first].data
		size += len(data)
		if size > _maxBytes && len(b.Entries) > 0 {
			break
		}
		b.Entries = append(b.Entries, beryllog.Entry{Offset: o, Data: data})
	}
	return b
}
