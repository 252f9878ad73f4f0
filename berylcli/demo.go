package berylcli

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"berylglade/beryladjacency"
	"berylglade/berylapi"
	"berylglade/berylclient"
	"berylglade/berylclock"
	"berylglade/berylduration"
	"berylglade/beryljob"
	"berylglade/berylshape"
	"berylglade/berylsize"
)

// _demoTimeout bounds each wait for the demonstration's job.
const _demoTimeout = 30 * time.Second

// demoOutput is the JSON output of the demonstration.
type demoOutput struct {
	Call answerOutput   `json:"call"`
	Took string         `json:"took"`
	Job  beryljob.State `json:"job"`
}

// demo sends a call through the first entry and a job of several tasks through
// the last.
func (f *fleet) demo(ctx context.Context, o *output) error {
	clock := berylclock.System()
	sent := clock()
	answer, err := f.callerClient(0).Call(ctx, berylclient.Call{Class: "quick", Body: []byte("demo call")})
	if err != nil {
		return withID(answer.ID, err)
	}
	d := demoOutput{
		Call: answerOutput{ID: answer.ID, Length: len(answer.Body), Text: string(answer.Body)},
		Took: clock().Sub(sent).Round(time.Microsecond).String(),
	}
	o.printProgress("call %s through entry-1 answered after %s: %s", d.Call.ID, d.Took, strings.TrimSpace(d.Call.Text))

	last := len(f.entries) - 1
	client := f.callerClient(last)
	job, err := client.Submit(ctx, "", berylapi.Submission{
		Class:    "urgent",
		Tasks:    4,
		Shape:    berylshape.Shape{Accelerators: 2, Cores: 4, Memory: 8 * berylsize.GB},
		Adjacent: beryladjacency.Rack.String(),
		Declared: berylduration.Duration(time.Second),
		Payload:  "run=1s",
	})
	if err != nil {
		return withID(job.ID, err)
	}
	o.printProgress("job %s of 4 tasks with 2 accelerators each, in one rack, accepted by entry-%d", job.ID, last+1)
	decided, err := waitJob(ctx, client, job.ID, _demoTimeout, func(p beryljob.Phase) bool { return p >= beryljob.Decided })
	if err != nil {
		return withID(job.ID, err)
	}
	for _, m := range decided.Members {
		o.printProgress("  %d tasks on %s", m.Tasks, m.Agent)
	}
	if d.Job, err = waitJob(ctx, client, job.ID, _demoTimeout, beryljob.Phase.Ended); err != nil {
		return withID(job.ID, err)
	}
	o.printProgress("job %s %s after %s", d.Job.ID, d.Job.Phase, clock().Sub(sent).Round(time.Millisecond))
	if err := o.print(d, func(io.Writer) {}); err != nil {
		return err
	}
	return jobError(d.Job)
}

// printProgress prints a line unless the output is JSON.
func (o *output) printProgress(format string, args ...any) {
	if !o.json {
		_, _ = fmt.Fprintf(o.out, format+"\n", args...)
	}
}
