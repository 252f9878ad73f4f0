package berylsite

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"berylglade/berylclock"
	"berylglade/beryldirector"
	"berylglade/berylerror"
)

const _reservationsPath = "/reservations"

// reservations are the metrics of capacity that waits for units, by queue.
type reservations struct {
	held  func() []beryldirector.Held
	clock berylclock.Clock

	accelerators, age, free, blocked, borrowers *prometheus.Desc
}

func newReservations(clock berylclock.Clock, held func() []beryldirector.Held) *reservations {
	desc := func(name, help string) *prometheus.Desc {
		return prometheus.NewDesc(name, help, []string{"queue"}, nil)
	}
	return &reservations{
		held: held, clock: clock,
		accelerators: desc("berylglade_reserved_accelerators", "Accelerators that are reserved for waiting units."),
		age:          desc("berylglade_reservation_age_seconds", "Time since capacity was first reserved for a waiting unit, the longest."),
		free:         desc("berylglade_reservation_free_seconds", "Time until all capacity that is reserved for a waiting unit is expected to be free, the longest."),
		blocked:      desc("berylglade_blocked_units", "Waiting units for which no capacity is expected to come free."),
		borrowers:    desc("berylglade_borrowing_units", "Units that run on capacity for which others wait."),
	}
}

// Describe implements prometheus.Collector.
func (r *reservations) Describe(ch chan<- *prometheus.Desc) {
	for _, desc := range []*prometheus.Desc{r.accelerators, r.age, r.free, r.blocked, r.borrowers} {
		ch <- desc
	}
}

// queueHeld sums up what waits for the units of a queue.
type queueHeld struct {
	accelerators, blocked, borrowers int
	age, free                        time.Duration
}

// Collect implements prometheus.Collector.
func (r *reservations) Collect(ch chan<- prometheus.Metric) {
	for queue, q := range sumHeld(r.clock(), r.held()) {
		gauge := func(desc *prometheus.Desc, value float64) {
			ch <- prometheus.MustNewConstMetric(desc, prometheus.GaugeValue, value, queue)
		}
		gauge(r.accelerators, float64(q.accelerators))
		gauge(r.age, q.age.Seconds())
		gauge(r.free, q.free.Seconds())
		gauge(r.blocked, float64(q.blocked))
		gauge(r.borrowers, float64(q.borrowers))
	}
}

func sumHeld(now time.Time, held []beryldirector.Held) map[string]queueHeld {
	sums := map[string]queueHeld{}
	for _, h := range held {
		q := sums[h.Queue]
		q.accelerators += h.Accelerators
		q.borrowers += h.Borrowers
		if h.Blocked {
			q.blocked++
		} else {
			q.age = max(q.age, now.Sub(time.UnixMilli(h.Since)))
			q.free = max(q.free, time.UnixMilli(h.Free).Sub(now))
		}
		sums[h.Queue] = q
	}
	return sums
}

// serveReservations answers operators with the capacity that waits for units. Only the
// leader has any.
func (e *entry) serveReservations(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	held := e.gateway.Held()
	if held == nil {
		held = []beryldirector.Held{}
	}
	_ = json.NewEncoder(w).Encode(held)
}

type reservationsCmd struct {
	Addr string `arg:"" help:"IP address and port of the leading entry's metrics."`
	JSON bool   `name:"json" help:"Print JSON."`
}

// Run prints the capacity that waits for units.
func (c *reservationsCmd) Run() error {
	var held []beryldirector.Held
	err := fetchJSON(c.Addr, _reservationsPath, nil, &held)
	if err != nil {
		return err
	}
	if c.JSON {
		err = json.NewEncoder(os.Stdout).Encode(held)
	} else {
		err = printReservations(os.Stdout, berylclock.System()(), held)
	}
	if err != nil {
		return berylerror.Internal.Wrap(err, "print reservations")
	}
	return nil
}

// printReservations prints one line for each unit that waits.
func printReservations(w io.Writer, now time.Time, held []beryldirector.Held) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "UNIT\tQUEUE\tACCOUNT\tACCELERATORS\tSINCE\tFREE\tLENT\tBORROWERS\tNODES")
	for _, h := range held {
		_, _ = fmt.Fprintf(t, "%s\t%s\t%s\t", h.Unit, h.Queue, orDash(h.Account))
		if h.Blocked {
			_, _ = fmt.Fprintf(t, "-\t-\tunknown\tnow\t%d\t-\n", h.Borrowers)
			continue
		}
		_, _ = fmt.Fprintf(t, "%d\t%v\t%v\t%v\t%d\t%s\n", h.Accelerators, untilMillis(now, h.Since), untilMillis(now, h.Free),
			untilMillis(now, h.Open), h.Borrowers, strings.Join(h.Nodes, ","))
	}
	return t.Flush()
}

// untilMillis returns the time from now until at, in Unix milliseconds. It is negative if that
// has passed.
func untilMillis(now time.Time, at int64) time.Duration {
	return time.UnixMilli(at).Sub(now).Round(time.Millisecond)
}
