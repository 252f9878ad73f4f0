package berylentry

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"time"

	"github.com/oklog/ulid/v2"

	"berylglade/berylcontrol"
	"berylglade/berylerror"
	"berylglade/beryljob"
	"berylglade/berylrecord"
	"berylglade/berylshape"
)

// _appendTimeout bounds the wait for the log when a caller submits or cancels a
// job or an operator publishes a change.
const _appendTimeout = 10 * time.Second

// _freshWait and _freshPoll bound the wait of a new entry for its first read.
const (
	_freshWait = 2 * time.Second
	_freshPoll = 20 * time.Millisecond
)

// Submit implements berylapi.Entry.
func (e *Entry) Submit(ctx context.Context, job beryljob.Job) (beryljob.State, error) {
	if err := e.checkFeasible(&job); err != nil {
		return beryljob.State{}, err
	}
	// A caller that disconnects can find the job by its key or in the list.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), _appendTimeout)
	defer cancel()
	job.ID = jobID(&job)
	job.Accepted = e.clock().UTC().Round(0)
	found, err := e.findFresh(ctx, job.ID)
	if err != nil {
		return beryljob.State{}, berylerror.NotRun.Wrap(err, "look up job")
	}
	if found.ok {
		return matchSubmission(&job, found.state)
	}
	if !found.fresh {
		return beryljob.State{}, berylerror.NotRun.Errorf("log has not been read to its end recently, so a job with the same key may exist")
	}
	err = e.append(ctx, berylrecord.StreamControl, berylrecord.New(found.upto, berylrecord.JobState{
		State: beryljob.State{Job: job, Phase: beryljob.Queued},
	}))
	switch {
	case err != nil && berylerror.Of(err) == berylerror.NotRun:
		return beryljob.State{}, err
	case err != nil:
		return beryljob.State{Job: beryljob.Job{ID: job.ID}}, berylerror.Unknown.Wrap(err, "submit job")
	}
	found, err = e.findJob(ctx, job.ID)
	if err != nil || !found.ok {
		return beryljob.State{Job: beryljob.Job{ID: job.ID}}, berylerror.Unknown.Errorf("job was recorded but could not be read back")
	}
	return matchSubmission(&job, found.state)
}

// jobID returns a new ID. The ID of a keyed job is derived from its account and
// key at every entry, so that only the first of two submissions is valid.
func jobID(job *beryljob.Job) string {
	if job.Key == "" {
		return ulid.Make().String()
	}
	sum := sha256.Sum256([]byte(job.Account + "\x00" + job.Key))
	return "k" + hex.EncodeToString(sum[:16])
}

// matchSubmission returns the recorded state, or an error if it belongs to
// another request.
func matchSubmission(job *beryljob.Job, state beryljob.State) (beryljob.State, error) {
	if state.Account != job.Account || state.Sum != job.Sum {
		return beryljob.State{}, berylerror.Conflict.Errorf("key %q was already used with another job", job.Key)
	}
	return state, nil
}

// checkFeasible rejects a job that can never run: one above its account's
// quota, or one with a task that fits on no worker that the entry knows.
func (e *Entry) checkFeasible(job *beryljob.Job) error {
	if err := job.Check(); err != nil {
		return err
	}
	v := e.view.Load()
	quota := v.config.Accounts[job.Account].Quota
	if need := job.Shape.Times(job.Tasks); exceedsQuota(need, quota) {
		return berylerror.Impossible.Errorf("job needs %s but the quota of client account %s is %s", need, job.Account, quota)
	}
	workers, fits := 0, false
	for i := range v.members {
		if total := v.members[i].Total; !total.Empty() {
			workers++
			fits = fits || job.Shape.Fits(total)
		}
	}
	if v.settled && workers > 0 && !fits {
		return berylerror.Impossible.Errorf("task that needs %s fits on none of the %d known workers", job.Shape, workers)
	}
	return nil
}

// exceedsQuota reports whether need is above the limit in any resource. A limit
// of zero means no limit.
func exceedsQuota(need, limit berylshape.Shape) bool {
	return limit.Accelerators > 0 && need.Accelerators > limit.Accelerators ||
		limit.Cores > 0 && need.Cores > limit.Cores ||
		limit.Memory > 0 && need.Memory > limit.Memory
}

// Job implements berylapi.Entry.
func (e *Entry) Job(ctx context.Context, account, id string) (beryljob.State, error) {
	found, err := e.findJob(ctx, id)
	switch {
	case err != nil:
		return beryljob.State{}, err
	case found.ok && found.state.Account == account:
		return found.state, nil
	case !found.ok && !found.fresh:
		return beryljob.State{}, berylerror.Unavailable.Errorf("log has not been read to its end, so job %s may exist", id)
	default:
		return beryljob.State{}, berylerror.Missing.Errorf("client account %s has no job %s", account, id)
	}
}

// Jobs implements berylapi.Entry.
func (e *Entry) Jobs(ctx context.Context, account string) ([]beryljob.State, error) {
	return berylcontrol.Ask(ctx, e.loop, func(reply func([]beryljob.State)) message {
		return listJobs{account: account, reply: reply}
	})
}

// Cancel implements berylapi.Entry.
func (e *Entry) Cancel(ctx context.Context, account, id string) (beryljob.State, error) {
	state, err := e.Job(ctx, account, id)
	if err != nil || state.Phase.Ended() {
		return state, err
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), _appendTimeout)
	defer cancel()
	err = e.append(ctx, berylrecord.StreamControl, berylrecord.New(0, berylrecord.Cancel{Job: id, By: account}))
	switch {
	case err != nil && berylerror.Of(err) == berylerror.NotRun:
		return state, berylerror.Unavailable.Wrap(err, "cancel job")
	case err != nil:
		return state, berylerror.Unknown.Wrap(err, "cancel job")
	}
	return e.Job(ctx, account, id)
}

// findFresh finds a job once the stream has been read to its end, which takes
// an entry that has just started a moment.
func (e *Entry) findFresh(ctx context.Context, id string) (jobResult, error) {
	ctx, cancel := context.WithTimeout(ctx, _freshWait)
	defer cancel()
	for {
		found, err := e.findJob(ctx, id)
		if err != nil || found.ok || found.fresh || e.view.Load().failing[berylrecord.StreamControl] {
			return found, err
		}
		if !sleep(ctx, _freshPoll) {
			return found, nil
		}
	}
}

func (e *Entry) findJob(ctx context.Context, id string) (jobResult, error) {
	return berylcontrol.Ask(ctx, e.loop, func(reply func(jobResult)) message {
		return findJob{id: id, reply: reply}
	})
}
