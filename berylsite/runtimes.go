package berylsite

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"text/tabwriter"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"berylglade/berylerror"
	"berylglade/berylestimator"
)

const (
	_runTimesPath = "/run-times"
	// _operatorTimeout bounds the time to answer an operator.
	_operatorTimeout = 3 * time.Second
	// _maxAnswer is the largest answer that is read, in bytes.
	_maxAnswer = 1 << 20
)

// runTimeRatios returns the observer of the histogram of real to expected run times. Its
// sum and count tell the bias, its buckets the spread.
func (p *process) runTimeRatios() func(queue string, ratio float64) {
	ratios := prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Name: "berylglade_run_time_ratio", Help: "Run time divided by the expected one, of finished runs.",
		Buckets: []float64{0.125, 0.25, 0.5, 0.667, 0.8, 1, 1.25, 1.5, 2, 4, 8},
	}, []string{"queue"})
	p.registry.MustRegister(ratios)
	return func(queue string, ratio float64) { ratios.WithLabelValues(queue).Observe(ratio) }
}

// serveRunTimes answers operators with what is known of the run times of a queue.
func (e *entry) serveRunTimes(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), _operatorTimeout)
	defer cancel()
	known, err := e.gateway.RunTimes(ctx, r.FormValue("queue"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(known)
}

type runTimesCmd struct {
	Addr  string `arg:"" help:"IP address and port of an entry's metrics."`
	Queue string `help:"Print this queue only."`
	JSON  bool   `name:"json" help:"Print JSON."`
}

// Run prints what an entry knows of run times.
func (c *runTimesCmd) Run() error {
	known, err := c.fetch()
	if err != nil {
		return err
	}
	if c.JSON {
		err = json.NewEncoder(os.Stdout).Encode(known)
	} else {
		err = printRunTimes(os.Stdout, known)
	}
	if err != nil {
		return berylerror.Internal.Wrap(err, "print run times")
	}
	return nil
}

func (c *runTimesCmd) fetch() (known []berylestimator.Known, err error) {
	err = fetchJSON(c.Addr, _runTimesPath, url.Values{"queue": {c.Queue}}, &known)
	return known, err
}

// fetchJSON reads what an entry answers operators.
func fetchJSON[T any](addr, path string, query url.Values, answer *T) error {
	ctx, cancel := context.WithTimeout(context.Background(), _operatorTimeout)
	defer cancel()
	u := url.URL{Scheme: "http", Host: addr, Path: path, RawQuery: query.Encode()}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), http.NoBody)
	if err != nil {
		return berylerror.Invalid.Wrap(err, "address "+addr)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return berylerror.Unavailable.Wrap(err, "read "+path)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return berylerror.Unavailable.Errorf("read %s from %s: status %d", path, addr, resp.StatusCode)
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, _maxAnswer)).Decode(answer); err != nil {
		return berylerror.Unavailable.Wrap(err, "read "+path+" from "+addr)
	}
	return nil
}

// printRunTimes prints one line for each key. Keys without enough ends have no times.
func printRunTimes(w io.Writer, known []berylestimator.Known) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "LEVEL\tSERVICE\tQUEUE\tTASKS\tACCELERATORS\tGANG\tSTEP\tACCOUNT\tIMAGE\tENDS\tCUT\tMEDIAN\tHIGH\tRATIO\tBY")
	for _, k := range known {
		_, _ = fmt.Fprintf(t, "%s\t%s\t%s\t", k.Level, k.Service, orDash(k.Queue))
		if k.Shape == (berylestimator.Shape{}) {
			_, _ = fmt.Fprint(t, "-\t-\t-\t-\t")
		} else {
			_, _ = fmt.Fprintf(t, "%d+\t%d\t%t\t%d\t", 1<<max(k.Shape.CountClass-1, 0), k.Shape.Accelerators, k.Shape.Gang, k.Shape.Step)
		}
		_, _ = fmt.Fprintf(t, "%s\t%s\t%d\t%d\t", orDash(k.Account), orDash(k.Image), k.Ends, k.Cuts)
		if !k.Used {
			_, _ = fmt.Fprintln(t, "-\t-\t-\t-")
			continue
		}
		by := "run time"
		if k.ByRatio {
			by = "ratio"
		}
		_, _ = fmt.Fprintf(t, "%v\t%v\t%.2f\t%s\n", milliseconds(k.MedianMS), milliseconds(k.HighMS), k.Ratio, by)
	}
	return t.Flush()
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}
