package berylsuite

import (
	"encoding/csv"
	"encoding/json"
	"io"
	"sort"
	"strconv"
	"strings"
	"text/tabwriter"

	"github.com/go-faster/errors"

	"berylglade/berylmeasure"
)

// Row summarizes the runs of one workload, policy and class over all seeds. Counts
// are sums, StartP99 and DecideP99 are maximums, and other values are means.
// Fragmentation, Share, Least, Preemptions, Violations, Guarantee and DecideP99 are
// those of whole runs, so they are the same for all classes.
type Row struct {
	Workload      string  `json:"workload"`
	Policy        string  `json:"policy"`
	Class         string  `json:"class"`
	Runs          int     `json:"runs"`
	Jobs          int     `json:"jobs"`
	Done          int     `json:"done"`
	Failed        int     `json:"failed"`
	Missed        int     `json:"missed"`
	Avoidable     int     `json:"avoidable"`
	Mean          float64 `json:"mean"`
	P95           float64 `json:"p95"`
	StartP99      float64 `json:"startp99"`
	Fragmentation float64 `json:"fragmentation"`
	Share         float64 `json:"share"`
	// Least is the lowest Share of a single seed.
	Least       float64 `json:"least"`
	Preemptions int     `json:"preemptions"`
	Violations  int     `json:"violations"`
	Guarantee   int     `json:"guarantee"`
	DecideP99   float64 `json:"decidep99"`
}

// Summarize returns a row for each workload, policy and class, in order of workload,
// class and policy.
func Summarize(results []berylmeasure.Result) []Row {
	rows := map[[3]string]*Row{}
	for i := range results {
		res := &results[i]
		for _, c := range res.Classes {
			key := [3]string{res.Workload, res.Policy, c.Class}
			if rows[key] == nil {
				rows[key] = &Row{Workload: key[0], Policy: key[1], Class: key[2], Least: 1}
			}
			rows[key].add(res, c)
		}
	}
	list := make([]Row, 0, len(rows))
	for _, row := range rows {
		row.Mean /= float64(row.Runs)
		row.P95 /= float64(row.Runs)
		row.Fragmentation /= float64(row.Runs)
		row.Share /= float64(row.Runs)
		list = append(list, *row)
	}
	sort.Slice(list, func(i, j int) bool {
		a, b := list[i], list[j]
		if a.Workload != b.Workload {
			return a.Workload < b.Workload
		}
		if a.Class != b.Class {
			return a.Class < b.Class
		}
		return a.Policy < b.Policy
	})
	return list
}

func (row *Row) add(res *berylmeasure.Result, c berylmeasure.ClassResult) {
	row.Runs++
	row.Jobs += c.Jobs
	row.Done += c.Done
	row.Failed += c.Failed
	row.Missed += c.Missed
	row.Avoidable += c.Avoidable
	row.Mean += c.Mean
	row.P95 += c.P95
	row.StartP99 = max(row.StartP99, c.StartP99)
	row.Fragmentation += res.Fragmentation
	row.Share += res.Outage.Share
	row.Least = min(row.Least, res.Outage.Share)
	row.Preemptions += res.Preemptions
	row.Violations += res.Violations.Sum()
	row.Guarantee += res.Violations.Guarantee
	row.DecideP99 = max(row.DecideP99, res.Decisions.P99)
}

func header() []string {
	return []string{
		"workload", "class", "policy", "runs", "jobs", "done", "failed", "missed", "avoidable",
		"mean s", "p95 s", "start p99 s", "fragmentation", "share", "least", "preemptions",
		"violations", "guarantee", "decide p99 us",
	}
}

func (row *Row) cells() []string {
	return []string{
		row.Workload, row.Class, row.Policy, strconv.Itoa(row.Runs), strconv.Itoa(row.Jobs),
		strconv.Itoa(row.Done), strconv.Itoa(row.Failed), strconv.Itoa(row.Missed),
		strconv.Itoa(row.Avoidable), formatFloat(row.Mean, 1), formatFloat(row.P95, 1), formatFloat(row.StartP99, 2),
		formatFloat(row.Fragmentation, 3), formatFloat(row.Share, 3), formatFloat(row.Least, 3),
		strconv.Itoa(row.Preemptions), strconv.Itoa(row.Violations), strconv.Itoa(row.Guarantee),
		formatFloat(row.DecideP99, 0),
	}
}

func formatFloat(v float64, digits int) string { return strconv.FormatFloat(v, 'f', digits, 64) }

// WriteTable writes the rows as a table of aligned text.
func WriteTable(w io.Writer, rows []Row) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	lines := make([][]string, 0, 1+len(rows))
	lines = append(lines, header())
	for i := range rows {
		lines = append(lines, rows[i].cells())
	}
	for _, cells := range lines {
		if _, err := io.WriteString(tw, strings.Join(cells, "\t")+"\n"); err != nil {
			return errors.Wrap(err, "write table")
		}
	}
	if err := tw.Flush(); err != nil {
		return errors.Wrap(err, "write table")
	}
	return nil
}

// WriteCSV writes the rows as CSV.
func WriteCSV(w io.Writer, rows []Row) error {
	cw := csv.NewWriter(w)
	if err := cw.Write(header()); err != nil {
		return errors.Wrap(err, "write CSV")
	}
	for i := range rows {
		if err := cw.Write(rows[i].cells()); err != nil {
			return errors.Wrap(err, "write CSV")
		}
	}
	cw.Flush()
	if err := cw.Error(); err != nil {
		return errors.Wrap(err, "write CSV")
	}
	return nil
}

// WriteJSON writes the full results as JSON.
func WriteJSON(w io.Writer, results []berylmeasure.Result) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	if err := enc.Encode(results); err != nil {
		return errors.Wrap(err, "write JSON")
	}
	return nil
}
