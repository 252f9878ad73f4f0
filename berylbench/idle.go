package berylbench

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"text/tabwriter"
	"time"

	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
	"github.com/prometheus/procfs"

	"berylglade/berylclock"
	"berylglade/berylerror"
	"berylglade/berylsize"
)

// Cost is the resource use of one process during an interval.
type Cost struct {
	// Process is the process ID or the address of its metrics.
	Process string `json:"process"`
	// CPU is the CPU time divided by the length of the interval; 1 is one core.
	CPU float64 `json:"cpu"`
	// Memory is the resident memory at the end.
	Memory berylsize.Size `json:"memory"`
	// Bytes is the number of bytes read and written by system calls per second.
	// It includes the payload of connections but no packet headers. With an
	// Addr it also includes what the process reads and writes to serve its
	// metrics, so a PID is more exact.
	Bytes float64 `json:"bytes"`
}

// Source reads the counters of one process.
type Source interface {
	// read returns the present counters.
	read(ctx context.Context) (counters, error)
	// name identifies the process in a report.
	name() string
}

// counters are totals since the start of a process, except that memory is the
// present resident memory.
type counters struct {
	cpu    float64
	memory float64
	bytes  float64
}

// PID is a process of this machine.
type PID int

// Addr is the IP address and port of a process that serves /metrics.
type Addr string

var (
	_ Source = PID(0)
	_ Source = Addr("")
)

// Idle measures the resource use of processes over an interval.
func Idle(ctx context.Context, clock berylclock.Clock, interval time.Duration, sources []Source) ([]Cost, error) {
	before := make([]counters, 0, len(sources))
	started := clock()
	for _, s := range sources {
		c, err := s.read(ctx)
		if err != nil {
			return nil, err
		}
		before = append(before, c)
	}
	select {
	case <-time.After(interval):
	case <-ctx.Done():
		return nil, berylerror.Unavailable.Wrap(ctx.Err(), "measure idle cost")
	}
	costs := make([]Cost, 0, len(sources))
	for i, s := range sources {
		c, err := s.read(ctx)
		if err != nil {
			return nil, err
		}
		costs = append(costs, cost(s.name(), before[i], c, clock().Sub(started)))
	}
	return costs, nil
}

func cost(name string, before, after counters, elapsed time.Duration) Cost {
	seconds := elapsed.Seconds()
	return Cost{
		Process: name,
		CPU:     (after.cpu - before.cpu) / seconds,
		Memory:  berylsize.Size(after.memory),
		Bytes:   (after.bytes - before.bytes) / seconds,
	}
}

func (p PID) name() string { return "pid " + strconv.Itoa(int(p)) }

func (p PID) read(context.Context) (counters, error) {
	proc, err := procfs.NewProc(int(p))
	if err != nil {
		return counters{}, berylerror.Missing.Wrap(err, "read "+p.name())
	}
	stat, err := proc.Stat()
	if err != nil {
		return counters{}, berylerror.Missing.Wrap(err, "read "+p.name())
	}
	usage, err := proc.IO()
	if err != nil {
		return counters{}, berylerror.Missing.Wrap(err, "read "+p.name())
	}
	return counters{
		cpu:    stat.CPUTime(),
		memory: float64(stat.ResidentMemory()),
		bytes:  float64(usage.RChar) + float64(usage.WChar),
	}, nil
}

func (a Addr) name() string { return string(a) }

func (a Addr) read(ctx context.Context) (counters, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+string(a)+"/metrics", http.NoBody)
	if err != nil {
		return counters{}, berylerror.Invalid.Wrap(err, "metrics address")
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return counters{}, berylerror.Unavailable.Wrap(err, "read metrics")
	}
	defer resp.Body.Close()
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(resp.Body)
	if err != nil {
		return counters{}, berylerror.Unavailable.Wrap(err, "read metrics of "+string(a))
	}
	value := func(name string) float64 {
		f := families[name]
		if len(f.GetMetric()) == 0 {
			return 0
		}
		m := f.GetMetric()[0]
		return m.GetCounter().GetValue() + m.GetGauge().GetValue()
	}
	return counters{
		cpu:    value("process_cpu_seconds_total"),
		memory: value("process_resident_memory_bytes"),
		bytes:  value("berylglade_process_io_bytes_total"),
	}, nil
}

// WriteIdle writes costs as a table. The last line has the design limits for an
// idle process.
func WriteIdle(w io.Writer, costs []Cost) {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(tw, "process\tcores\tmemory\tbytes/s\t")
	for _, c := range costs {
		_, _ = fmt.Fprintf(tw, "%s\t%.2f%%\t%.1f MB\t%.0f\t\n",
			c.Process, 100*c.CPU, float64(c.Memory)/float64(berylsize.MB), c.Bytes)
	}
	_, _ = fmt.Fprintln(tw, "limit\t3.40%\t64.0 MB\t2000\t")
	_ = tw.Flush()
}
