// Package berylbench measures what the system adds to a call, and what its
// processes cost while they are idle.
//
// [Bench.Latency] sends calls over several ways in turn, so that all of them see
// the same load on the machine. [Idle] reads the processor time, memory and
// bytes of processes at the start and the end of an interval.
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

// Range and precision of the histograms: 1 µs to 2 min with three digits.
const (
	_lowest  = int64(time.Microsecond)
	_highest = int64(2 * time.Minute)
	_digits  = 3
)

// Bench says what to measure.
type Bench struct {
	Clock berylclock.Clock
	// Routes are compared with each other; the first is the base of the ratios.
	Routes []Route
	// Levels are numbers of concurrent calls.
	Levels []int
	// Calls is the number of calls for each way and level.
	Calls int
	// Limit is the longest time for each way and level.
	Limit time.Duration
	// Rounds is how often the ways take turns within a level.
	Rounds int
}

// Route is one way to send a call.
type Route struct {
	Name string
	// Send sends one call and checks its answer.
	Send func(ctx context.Context) error
}

// Row is the result of one way at one level.
type Row struct {
	// Level is the number of concurrent calls.
	Level int    `json:"level"`
	Route string `json:"way"`
	// Calls counts the answered calls, on which the latencies are based.
	Calls int64 `json:"calls"`
	// Errors counts calls without an answer by error kind.
	Errors map[string]int64       `json:"errors,omitempty"`
	P50    berylduration.Duration `json:"p50"`
	P99    berylduration.Duration `json:"p99"`
	// Rate is the number of answered calls a second.
	Rate float64 `json:"rate"`
	// Ratio50 and Ratio99 are relative to the first way at the same level.
	Ratio50 float64 `json:"ratio50"`
	Ratio99 float64 `json:"ratio99"`
}

// tally collects the results of one way at one level.
type tally struct {
	mu      sync.Mutex
	hist    *hdrhistogram.Histogram
	errors  map[string]int64
	elapsed time.Duration
}

func newTally() *tally {
	return &tally{hist: hdrhistogram.New(_lowest, _highest, _digits), errors: map[string]int64{}}
}

func (t *tally) add(latency time.Duration, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if err != nil {
		t.errors[berylerror.Of(err).String()]++
		return
	}
	_ = t.hist.RecordValue(min(max(int64(latency), _lowest), _highest))
}

// Latency measures every way at every level.
func (b *Bench) Latency(ctx context.Context) ([]Row, error) {
	rows := make([]Row, 0, len(b.Levels)*len(b.Routes))
	for _, level := range b.Levels {
		tallies := make([]*tally, len(b.Routes))
		for i := range b.Routes {
			tallies[i] = newTally()
		}
		for range b.Rounds {
			for i, way := range b.Routes {
				b.round(ctx, way, level, tallies[i])
			}
		}
		if err := ctx.Err(); err != nil {
			return nil, berylerror.Unavailable.Wrap(err, "measure latency")
		}
		rows = append(rows, b.rows(level, tallies)...)
	}
	return rows, nil
}

// round sends one round's share of the calls of a way.
func (b *Bench) round(ctx context.Context, way Route, level int, t *tally) {
	ctx, cancel := context.WithTimeout(ctx, b.Limit/time.Duration(b.Rounds))
	defer cancel()
	var left atomic.Int64
	left.Store(int64(b.Calls / b.Rounds))
	began := b.Clock()
	var wg sync.WaitGroup
	for range level {
		wg.Go(func() {
			for ctx.Err() == nil && left.Add(-1) >= 0 {
				sent := b.Clock()
				err := way.Send(ctx)
				if ctx.Err() != nil {
					return
				}
				t.add(b.Clock().Sub(sent), err)
			}
		})
	}
	wg.Wait()
	t.elapsed += b.Clock().Sub(began)
}

func (b *Bench) rows(level int, tallies []*tally) []Row {
	rows := make([]Row, 0, len(tallies))
	for i, t := range tallies {
		r := Row{
			Level:  level,
			Route:  b.Routes[i].Name,
			Calls:  t.hist.TotalCount(),
			Errors: t.errors,
			P50:    berylduration.Duration(t.hist.ValueAtQuantile(50)),
			P99:    berylduration.Duration(t.hist.ValueAtQuantile(99)),
		}
		if t.elapsed > 0 {
			r.Rate = float64(r.Calls) / t.elapsed.Seconds()
		}
		base := tallies[0].hist
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
	_, _ = fmt.Fprintln(tw, "concurrent\tway\tcalls\tcalls/s\tp50\tp99\tp50 ratio\tp99 ratio\terrors\t")
	for _, r := range rows {
		_, _ = fmt.Fprintf(tw, "%d\t%s\t%d\t%.0f\t%v\t%v\t%.2f\t%.2f\t%v\t\n",
			r.Level, r.Route, r.Calls, r.Rate, round(r.P50), round(r.P99), r.Ratio50, r.Ratio99, r.Errors)
	}
	_ = tw.Flush()
}

func round(d berylduration.Duration) time.Duration { return d.Std().Round(time.Microsecond) }
