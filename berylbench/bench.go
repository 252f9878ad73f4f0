// Package berylbench measures the latency that the system adds to a call, and the
// resources that its processes use while they are idle.
//
// [Bench.Latency] alternates between several routes, such as direct and through
// an entry, so that other load on the machine affects all of them alike. [Idle]
// reads the CPU time, memory and I/O bytes of processes at the start and the end
// of an interval.
package berylbench

import (
	"context"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"berylglade/berylclock"
	"berylglade/berylduration"
	"berylglade/berylerror"
)

// Range and precision of the latency histograms.
const (
	_minLatency        = int64(time.Microsecond)
	_maxLatency        = int64(2 * time.Minute)
	_significantDigits = 3
)

// Bench is a latency benchmark.
type Bench struct {
	Clock berylclock.Clock
	// Routes are compared with each other; the first is the baseline of the
	// ratios.
	Routes []Route
	// Levels are numbers of concurrent calls.
	Levels []int
	// Calls is the number of calls for each route and level.
	Calls int
	// Limit is the longest time for each route and level.
	Limit time.Duration
	// Rounds is the number of rounds into which the calls of a level are split.
	// Each round sends calls over every route in turn.
	Rounds int
}

// Route is one way to send a call.
type Route struct {
	Name string
	// Send sends one call and checks its answer.
	Send func(ctx context.Context) error
}

// Row is the result of one route at one level.
type Row struct {
	// Level is the number of concurrent calls.
	Level int    `json:"level"`
	Route string `json:"way"`
	// Calls is the number of successful calls. Only these count in the
	// latencies.
	Calls int64 `json:"calls"`
	// Errors is the number of failed calls by error kind.
	Errors map[string]int64       `json:"errors,omitempty"`
	P50    berylduration.Duration `json:"p50"`
	P99    berylduration.Duration `json:"p99"`
	// Rate is the number of successful calls per second.
	Rate float64 `json:"rate"`
	// Ratio50 and Ratio99 are P50 and P99 relative to those of the first route
	// at the same level.
	Ratio50 float64 `json:"ratio50"`
	Ratio99 float64 `json:"ratio99"`
}

// measurements collects the latencies and errors of one route at one level.
type measurements struct {
	mu      sync.Mutex
	hist    *hdrhistogram.Histogram
	errors  map[string]int64
	elapsed time.Duration
}

func newMeasurements() *measurements {
	return &measurements{hist: hdrhistogram.New(_minLatency, _maxLatency, _significantDigits), errors: map[string]int64{}}
}

func (m *measurements) add(latency time.Duration, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err != nil {
		m.errors[berylerror.Of(err).String()]++
		return
	}
	_ = m.hist.RecordValue(min(max(int64(latency), _minLatency), _maxLatency))
}

// Latency measures every route at every level.
func (b *Bench) Latency(ctx context.Context) ([]Row, error) {
	rows := make([]Row, 0, len(b.Levels)*len(b.Routes))
	for _, level := range b.Levels {
		results := make([]*measurements, len(b.Routes))
		for i := range b.Routes {
			results[i] = newMeasurements()
		}
		for range b.Rounds {
			for i, route := range b.Routes {
				b.runRound(ctx, route, level, results[i])
			}
		}
		if err := ctx.Err(); err != nil {
			return nil, berylerror.Unavailable.Wrap(err, "measure latency")
		}
		rows = append(rows, b.rows(level, results)...)
	}
	return rows, nil
}

// runRound sends one round's share of the calls of a route. A call that is in
// flight when the time limit is reached does not count.
func (b *Bench) runRound(ctx context.Context, route Route, level int, m *measurements) {
	ctx, cancel := context.WithTimeout(ctx, b.Limit/time.Duration(b.Rounds))
	defer cancel()
	var remaining atomic.Int64
	remaining.Store(int64(b.Calls / b.Rounds))
	started := b.Clock()
	var wg sync.WaitGroup
	for range level {
		wg.Go(func() {
			for ctx.Err() == nil && remaining.Add(-1) >= 0 {
				sent := b.Clock()
				err := route.Send(ctx)
				if ctx.Err() != nil {
					return
				}
				m.add(b.Clock().Sub(sent), err)
			}
		})
	}
	wg.Wait()
	m.elapsed += b.Clock().Sub(started)
}

func (b *Bench) rows(level int, results []*measurements) []Row {
	rows := make([]Row, 0, len(results))
	for i, m := range results {
		r := Row{
			Level:  level,
			Route:  b.Routes[i].Name,
			Calls:  m.hist.TotalCount(),
			Errors: m.errors,
			P50:    berylduration.Duration(m.hist.ValueAtQuantile(50)),
			P99:    berylduration.Duration(m.hist.ValueAtQuantile(99)),
		}
		if m.elapsed > 0 {
			r.Rate = float64(r.Calls) / m.elapsed.Seconds()
		}
		base := results[0].hist
		r.Ratio50 = ratio(int64(r.P50), base.ValueAtQuantile(50))
		r.Ratio99 = ratio(int64(r.P99), base.ValueAtQuantile(99))
		rows = append(rows, r)
	}
	return rows
}

func ratio(v, base int64) float64 {
	if base == 0 {
		return 0
	}
	return float64(v) / float64(base)
}

// WriteLatency writes rows as a table.
func WriteLatency(w io.Writer, rows []Row) {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(tw, "concurrent\troute\tcalls\tcalls/s\tp50\tp99\tp50 ratio\tp99 ratio\terrors\t")
	for _, r := range rows {
		_, _ = fmt.Fprintf(tw, "%d\t%s\t%d\t%.0f\t%v\t%v\t%.2f\t%.2f\t%v\t\n",
			r.Level, r.Route, r.Calls, r.Rate, roundToMicros(r.P50), roundToMicros(r.P99), r.Ratio50, r.Ratio99, r.Errors)
	}
	_ = tw.Flush()
}

func roundToMicros(d berylduration.Duration) time.Duration { return d.Std().Round(time.Microsecond) }
