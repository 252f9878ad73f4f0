package berylentry

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"time"

	"berylglade/beryladjacency"
	"berylglade/berylapi"
	"berylglade/berylconfig"
	"berylglade/berylerror"
	"berylglade/berylmember"
	"berylglade/berylrecord"
	"berylglade/berylshape"
)

// _domainAttempts bounds the attempts to change a failure domain while other
// operators change it concurrently.
const _domainAttempts = 5

// _baseWait is the longest wait for a base offset that has not been read yet.
const _baseWait = 2 * time.Second

// Publish implements berylapi.Entry.
func (e *Entry) Publish(ctx context.Context, change berylapi.Change) (int64, error) {
	// The entry waits for the outcome of a change that it has sent, even if the
	// operator disconnects.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), _appendTimeout)
	defer cancel()
	base := int64(0)
	if change.Base != nil {
		base = *change.Base
	}
	v := e.view.Load()
	if v.failing[berylrecord.StreamConfig] {
		return 0, berylerror.Unavailable.Errorf("log cannot be read, so no change can be accepted")
	}
	if err := e.awaitBase(ctx, base); err != nil {
		return 0, err
	}
	v = e.view.Load()
	if err := v.checkChange(change.Set); err != nil {
		return 0, err
	}
	record := berylrecord.New(base, berylrecord.Change{By: change.By, Set: change.Set})
	settled := make(chan changeResult, 1)
	e.loop.Tell(watchChange{id: record.ID, done: ctx.Done(), reply: func(s changeResult) { settled <- s }})
	if err := e.append(ctx, berylrecord.StreamConfig, record); err != nil {
		if berylerror.Of(err) == berylerror.NotRun {
			return 0, berylerror.Unavailable.Wrap(err, "publish change")
		}
		return 0, berylerror.Unknown.Wrap(err, "publish change")
	}
	select {
	case s := <-settled:
		return s.offset, s.err
	case <-ctx.Done():
		return 0, berylerror.Unknown.Errorf("change was recorded but not read back")
	}
}

// awaitBase waits up to _baseWait for a base offset that the operator may have
// got from another entry which has read further.
func (e *Entry) awaitBase(ctx context.Context, base int64) error {
	ctx, cancel := context.WithTimeout(ctx, _baseWait)
	defer cancel()
	if err := e.await(ctx, berylrecord.StreamConfig, base); err != nil {
		return berylerror.Invalid.Errorf("base %d is above the newest offset that this entry has read", base)
	}
	return nil
}

// SetDomain implements berylapi.Entry. It retries after a concurrent change of
// the same failure domain by another operator, as the operator states the
// desired value, independent of the previous one.
func (e *Entry) SetDomain(ctx context.Context, by, name string, domain berylconfig.FailureDomain) (int64, error) {
	value, err := json.Marshal(domain)
	if err != nil {
		return 0, berylerror.Internal.Wrap(err, "encode failure domain")
	}
	if !e.view.Load().hasDomain(name) {
		return 0, berylerror.Missing.Errorf("failure domain %q is neither in the configuration nor reported by an agent", name)
	}
	var offset int64
	for range _domainAttempts {
		base := e.view.Load().upto[berylrecord.StreamConfig]
		offset, err = e.Publish(ctx, berylapi.Change{
			Base: &base,
			By:   by,
			Set:  map[string]json.RawMessage{"domains/" + name: value},
		})
		if berylerror.Of(err) != berylerror.Conflict {
			break
		}
	}
	return offset, err
}

func (v *view) hasDomain(name string) bool {
	if _, ok := v.config.Domains[name]; ok {
		return true
	}
	return slices.ContainsFunc(v.members, func(m berylmember.Member) bool { return m.Domain == name })
}

// checkChange rejects a change that has invalid values, or a guarantee that the
// known workers can never meet.
func (v *view) checkChange(set map[string]json.RawMessage) error {
	next := v.config.Clone()
	for _, key := range slices.Sorted(maps.Keys(set)) {
		if err := next.Set(key, set[key]); err != nil {
			return err
		}
	}
	workers := workersOf(v.members)
	if !v.settled || len(workers) == 0 {
		// The capacity is not known yet.
		return nil
	}
	changed := false
	for key := range set {
		name, ok := strings.CutPrefix(key, "accounts/")
		if !ok {
			continue
		}
		changed = changed || len(next.Accounts[name].Guarantees) > 0
		for _, g := range next.Accounts[name].Guarantees {
			if most := guaranteeCapacity(workers, g); most < g.Count {
				return berylerror.Impossible.Errorf("guarantee of client account %s: %d units of %s %s requested, known workers hold at most %d",
					name, g.Count, g.Shape, placementText(g), most)
			}
		}
	}
	if changed {
		return checkTotalCapacity(workers, next)
	}
	return nil
}

func placementText(g berylconfig.Guarantee) string {
	text := "anywhere"
	if g.Adjacent != beryladjacency.Anywhere {
		text = "in one " + g.Adjacent.String()
	}
	if g.Spare {
		text += " with any one failure domain out"
	}
	return text
}

// checkTotalCapacity compares the sum of all guarantees with the sum of all
// workers. It rejects only what can never be met; whether the guarantees can be
// placed together at the moment is the scheduler's decision.
func checkTotalCapacity(workers []berylmember.Member, cfg *berylconfig.Config) error {
	var need, have berylshape.Shape
	for _, account := range cfg.Accounts {
		for _, g := range account.Guarantees {
			need = need.Add(g.Shape.Times(g.Count))
		}
	}
	for i := range workers {
		have = have.Add(workers[i].Total)
	}
	if !need.Fits(have) {
		return berylerror.Impossible.Errorf("all guarantees together need %s but the known workers have %s", need, have)
	}
	return nil
}

func workersOf(members []berylmember.Member) []berylmember.Member {
	var workers []berylmember.Member
	for i := range members {
		if !members[i].Total.Empty() {
			workers = append(workers, members[i])
		}
	}
	return workers
}

// guaranteeCapacity returns how many units of a guarantee fit on empty workers
// under its adjacency constraint. With Spare, it is the minimum over the loss of
// any one failure domain.
func guaranteeCapacity(workers []berylmember.Member, g berylconfig.Guarantee) int {
	if !g.Spare {
		return maxUnits(workers, g)
	}
	least := -1
	for i := range workers {
		out := workers[i].Domain
		left := slices.DeleteFunc(slices.Clone(workers), func(m berylmember.Member) bool { return m.Domain == out })
		if n := maxUnits(left, g); least < 0 || n < least {
			least = n
		}
	}
	return max(least, 0)
}

func maxUnits(workers []berylmember.Member, g berylconfig.Guarantee) int {
	unitsByGroup := map[string]int{}
	for i := range workers {
		w := &workers[i]
		var group string
		switch g.Adjacent {
		case beryladjacency.Domain:
			group = w.Domain
		case beryladjacency.Rack:
			group = w.Rack
		case beryladjacency.Worker:
			group = w.Agent
		case beryladjacency.Anywhere:
		}
		unitsByGroup[group] += g.Shape.Count(w.Total)
	}
	most := 0
	for _, n := range unitsByGroup {
		most = max(most, n)
	}
	return most
}
