package berylstandlog

import (
	"slices"
	"sync"
	"time"

	"berylglade/beryllog"
)

const (
	// _maxEntries is the largest number of records in a reply.
	_maxEntries = 1000
	// _maxBytes is the largest number of record bytes in a reply with more than
	// one record.
	_maxBytes = 4 << 20
)

// Stats are counts of requests since the start.
type Stats struct {
	// Appends is the number of accepted append requests, and Records that of
	// the records in them.
	Appends int64 `json:"appends"`
	Records int64 `json:"records"`
	// Refused is the number of append requests rejected with status 429 or 503.
	Refused int64 `json:"refused"`
	// Reads is the number of read requests, including rejected ones.
	Reads int64 `json:"reads"`
	// Peak is the largest number of append requests received within one second,
	// including rejected ones.
	Peak int `json:"peak"`
}

// state is the state that all requests share.
type state struct {
	mu      sync.Mutex
	faults  Faults
	stats   Stats
	streams map[string]*stream
	// changed is closed and replaced when records or faults change.
	changed chan struct{}
	// appendsReceived and appendsAccepted are the times of the append requests
	// within the last second.
	appendsReceived []time.Time
	appendsAccepted []time.Time
}

// stream has the stored records of one stream. Offsets begin at 1.
type stream struct {
	// first is the offset of records[0].
	first   int64
	records []storedRecord
}

// storedRecord is a record and the time at which it was appended.
type storedRecord struct {
	at   time.Time
	data []byte
}

// requestFaults are the faults that apply to one request.
type requestFaults struct {
	unavailable bool
	readDelay   time.Duration
	appendDelay time.Duration
}

// appendResult is the outcome of an append request.
type appendResult struct {
	offset      int64
	rateLimited bool
	replyLost   bool
}

func (s *state) faultsFor(client string) requestFaults {
	return requestFaults{
		unavailable: s.faults.Down || slices.Contains(s.faults.RefuseClients, client),
		readDelay:   s.faults.ReadDelay.Std(),
		appendDelay: s.faults.AppendDelay.Std(),
	}
}

// countAppend counts a received append request and returns its faults.
func (s *state) countAppend(now time.Time, client string) requestFaults {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.appendsReceived = append(withinLastSecond(s.appendsReceived, now), now)
	s.stats.Peak = max(s.stats.Peak, len(s.appendsReceived))
	f := s.faultsFor(client)
	if f.unavailable {
		s.stats.Refused++
	}
	return f
}

// withinLastSecond returns the times that are less than a second before now.
// Times are in ascending order.
func withinLastSecond(times []time.Time, now time.Time) []time.Time {
	n := 0
	for n < len(times) && now.Sub(times[n]) >= time.Second {
		n++
	}
	return times[n:]
}

// append stores records and wakes up long polls, unless the rate limit is
// exceeded.
func (s *state) append(now time.Time, settings Settings, name string, records [][]byte) appendResult {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.appendsAccepted = withinLastSecond(s.appendsAccepted, now)
	if settings.Rate > 0 && len(s.appendsAccepted) >= settings.Rate {
		s.stats.Refused++
		return appendResult{rateLimited: true}
	}
	s.appendsAccepted = append(s.appendsAccepted, now)
	st := s.stream(name)
	res := appendResult{offset: st.nextOffset(), replyLost: s.faults.LoseReplies > 0}
	for _, data := range records {
		st.records = append(st.records, storedRecord{at: now, data: data})
	}
	st.trim(now, settings)
	s.stats.Appends++
	s.stats.Records += int64(len(records))
	if res.replyLost {
		s.faults.LoseReplies--
	}
	s.notifyReaders()
	return res
}

// countRead counts a read request and returns its faults.
func (s *state) countRead(client string) requestFaults {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Reads++
	return s.faultsFor(client)
}

// read returns the batch that begins at an offset, a channel that is closed when
// records or faults change, and whether the faults make the request fail.
func (s *state) read(now time.Time, settings Settings, name string, from int64, client string) (beryllog.Batch, <-chan struct{}, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stream(name)
	st.trim(now, settings)
	return st.batch(from), s.changed, s.faultsFor(client).unavailable
}

func (s *state) setFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.notifyReaders()
}

func (s *state) getFaults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

func (s *state) getStats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}

// notifyReaders makes waiting long polls read again.
func (s *state) notifyReaders() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// stream returns a stream and creates it if it does not exist.
func (s *state) stream(name string) *stream {
	st, ok := s.streams[name]
	if !ok {
		st = &stream{first: 1}
		s.streams[name] = st
	}
	return st
}

func (st *stream) nextOffset() int64 { return st.first + int64(len(st.records)) }

// trim removes the records that are beyond the retention time or record limit.
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

// batch returns stored records from an offset on, up to the limits of a reply.
func (st *stream) batch(from int64) beryllog.Batch {
	b := beryllog.Batch{First: st.first, Next: st.nextOffset()}
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
