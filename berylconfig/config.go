// Package berylconfig defines the configuration that operators publish: classes
// with targets, client accounts with guarantees, and failure domains.
//
// Package berylmerge builds a [Config] from log records, one key at a time with
// [Config.Set]. A Config that is in use is never changed. The next version is made
// from a copy by [Config.Clone].
package berylconfig

import (
	"bytes"
	"encoding/json"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"berylglade/beryladjacency"
	"berylglade/berylduration"
	"berylglade/berylerror"
	"berylglade/berylshape"
	"berylglade/berylsize"
)

// Config is one version of the configuration.
type Config struct {
	// Offset is the log offset of the last applied record. It only increases.
	// Offsets start at one; zero means that no record has been applied.
	Offset int64 `json:"offset" cbor:"o"`
	// Classes are the classes of work by name.
	Classes map[string]Class `json:"classes" cbor:"c"`
	// Accounts are the client accounts by name.
	Accounts map[string]ClientAccount `json:"accounts" cbor:"a"`
	// Domains are the failure domains by name.
	Domains map[string]FailureDomain `json:"domains" cbor:"d"`
}

// Class is a class of jobs or calls.
type Class struct {
	// Target is the time within which the work should start or end.
	Target Target `json:"target" cbor:"t"`
	// Idempotent means that the work may run more than once.
	Idempotent bool `json:"idempotent,omitempty" cbor:"i,omitempty"`
	// Checkpoint means that tasks can save their progress within Stop, be
	// stopped, and be resumed later.
	Checkpoint bool `json:"checkpoint,omitempty" cbor:"k,omitempty"`
	// Stop is the longest time that saving the progress and stopping take.
	Stop berylduration.Duration `json:"stop,omitempty" cbor:"s,omitempty"`
	// Timeout is the longest run time of a call, at most 1 h; zero means 30 s.
	Timeout berylduration.Duration `json:"timeout,omitempty" cbor:"x,omitempty"`
	// Body is the maximum size of a call's body, at most 8 MB; zero means 1 MB.
	Body berylsize.Size `json:"body,omitempty" cbor:"b,omitempty"`
}

// Target is a deadline for the work of a class. At most one of Within, Start and
// By is set; none means best effort.
type Target struct {
	// Within is the longest time from acceptance to completion.
	Within berylduration.Duration `json:"within,omitempty" cbor:"w,omitempty"`
	// Start is the longest time from acceptance to the start of all tasks.
	Start berylduration.Duration `json:"start,omitempty" cbor:"s,omitempty"`
	// By is a time of day in Zone, such as "05:30", by which work must be done.
	By string `json:"by,omitempty" cbor:"b,omitempty"`
	// Zone is the IANA time zone of By; empty means UTC.
	Zone string `json:"zone,omitempty" cbor:"z,omitempty"`
}

// ClientAccount is a customer of the system: a tenant.
type ClientAccount struct {
	// Hash is the SHA-256 of the bearer token in hexadecimal. If it is empty,
	// the account can't authenticate.
	Hash string `json:"hash,omitempty" cbor:"h,omitempty"`
	// Quota is the maximum that the account may use at the same time; zero
	// amounts mean no limit.
	Quota berylshape.Shape `json:"quota,omitzero" cbor:"q,omitempty"`
	// Guarantees are capacities that the account can always reclaim.
	Guarantees []Guarantee `json:"guarantees,omitempty" cbor:"g,omitempty"`
	// Rate is the sustained limit of calls per second; zero means no limit.
	Rate float64 `json:"rate,omitempty" cbor:"r,omitempty"`
	// Burst is the number of calls that may exceed Rate at once.
	Burst int `json:"burst,omitempty" cbor:"b,omitempty"`
}

// Guarantee is capacity that an account can always reclaim from other accounts.
type Guarantee struct {
	// Shape is the size of one unit. A unit has to fit on one worker.
	Shape berylshape.Shape `json:"shape" cbor:"s"`
	// Count is the number of units, at least one.
	Count int `json:"count" cbor:"n"`
	// Adjacent says how close together the units must be.
	Adjacent beryladjacency.Adjacency `json:"adjacent,omitempty" cbor:"a,omitempty"`
	// Spare requires that the guarantee still holds while any one failure
	// domain is out.
	Spare bool `json:"spare,omitempty" cbor:"p,omitempty"`
}

// FailureDomain is the state of a failure domain as set by operators.
type FailureDomain struct {
	// Out means that nothing may start in the failure domain.
	Out bool `json:"out,omitempty" cbor:"o,omitempty"`
	// Grace is the time that running work has to leave the failure domain.
	Grace berylduration.Duration `json:"grace,omitempty" cbor:"g,omitempty"`
}

// Prefixes of configuration keys.
const (
	_classPrefix   = "classes/"
	_accountPrefix = "accounts/"
	_domainPrefix  = "domains/"
)

// _maxCount is the largest number of units in a guarantee. Its product with the
// largest shape does not overflow.
const _maxCount = 1 << 16

// Clone returns a copy that shares no map with c.
func (c *Config) Clone() *Config {
	return &Config{
		Offset:   c.Offset,
		Classes:  cloneMap(c.Classes),
		Accounts: cloneMap(c.Accounts),
		Domains:  cloneMap(c.Domains),
	}
}

func cloneMap[V any](m map[string]V) map[string]V {
	if m == nil {
		return map[string]V{}
	}
	return maps.Clone(m)
}

// Keys returns the keys that are set, in order.
func (c *Config) Keys() []string {
	keys := make([]string, 0, len(c.Classes)+len(c.Accounts)+len(c.Domains))
	for name := range c.Classes {
		keys = append(keys, _classPrefix+name)
	}
	for name := range c.Accounts {
		keys = append(keys, _accountPrefix+name)
	}
	for name := range c.Domains {
		keys = append(keys, _domainPrefix+name)
	}
	slices.Sort(keys)
	return keys
}

// Set sets one key, such as "domains/ware-east", to a JSON value. The value null
// removes the key. If Set returns an error, c is unchanged.
func (c *Config) Set(key string, value json.RawMessage) error {
	kind, name, ok := strings.Cut(key, "/")
	if !ok || name == "" || strings.Contains(name, "/") {
		return berylerror.Invalid.Errorf("configuration key %q does not consist of classes/, accounts/ or domains/ and a name", key)
	}
	switch kind + "/" {
	case _classPrefix:
		return set(&c.Classes, key, name, value, Class.check)
	case _accountPrefix:
		return set(&c.Accounts, key, name, value, ClientAccount.check)
	case _domainPrefix:
		return set(&c.Domains, key, name, value, FailureDomain.check)
	default:
		return berylerror.Invalid.Errorf("configuration key %q does not consist of classes/, accounts/ or domains/ and a name", key)
	}
}

func set[V any](m *map[string]V, key, name string, value json.RawMessage, check func(V) error) error {
	if string(bytes.TrimSpace(value)) == "null" {
		delete(*m, name)
		return nil
	}
	dec := json.NewDecoder(bytes.NewReader(value))
	dec.DisallowUnknownFields()
	var v V
	if err := dec.Decode(&v); err != nil {
		return berylerror.Invalid.Wrap(err, "configuration key "+key)
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return berylerror.Invalid.Errorf("configuration key %s has data after the JSON value", key)
	}
	if err := check(v); err != nil {
		return berylerror.Invalid.Wrap(err, "configuration key "+key)
	}
	if *m == nil {
		*m = map[string]V{}
	}
	(*m)[name] = v
	return nil
}

// Limits of the calls of a class.
const (
	// _maxTimeout also limits how long a stopping process waits for calls in
	// flight.
	_maxTimeout = berylduration.Duration(time.Hour)
	// _maxBody is half of the largest message between processes. A larger body
	// could be accepted and then not fit into the message to the agent.
	_maxBody = 8 * berylsize.MB
)

func (c Class) check() error {
	if c.Timeout > _maxTimeout {
		return berylerror.Invalid.Errorf("timeout %s is above %s", c.Timeout.Std(), _maxTimeout.Std())
	}
	if c.Body > _maxBody {
		return berylerror.Invalid.Errorf("body limit of %d bytes is above %d", c.Body, _maxBody)
	}
	return c.Target.check()
}

func (t Target) check() error {
	n := 0
	if t.Within > 0 {
		n++
	}
	if t.Start > 0 {
		n++
	}
	if t.By != "" {
		n++
	}
	if n > 1 {
		return berylerror.Invalid.Errorf("target sets more than one of within, start and by")
	}
	if t.By != "" {
		if _, err := time.Parse("15:04", t.By); err != nil {
			return berylerror.Invalid.Errorf("time of day %q in the target is not HH:MM", t.By)
		}
	}
	// "Local" is the zone of the VM, so processes in different zones would
	// compute different deadlines.
	if _, err := time.LoadLocation(t.Zone); err != nil || t.Zone == "Local" {
		return berylerror.Invalid.Errorf("unknown time zone %q", t.Zone)
	}
	return nil
}

// Deadline returns the time by which work that was accepted at the given time
// has to be done, or started if Start is set. It returns false for best effort.
func (t Target) Deadline(accepted time.Time) (time.Time, bool) {
	switch {
	case t.Within > 0:
		return accepted.Add(t.Within.Std()), true
	case t.Start > 0:
		return accepted.Add(t.Start.Std()), true
	case t.By != "":
		return t.nextTimeOfDay(accepted), true
	default:
		return time.Time{}, false
	}
}

// nextTimeOfDay returns the first time after accepted at which the time of day
// is By.
func (t Target) nextTimeOfDay(accepted time.Time) time.Time {
	loc, err := time.LoadLocation(t.Zone)
	if err != nil {
		loc = time.UTC
	}
	clock, err := time.Parse("15:04", t.By)
	if err != nil {
		return accepted
	}
	local := accepted.In(loc)
	by := time.Date(local.Year(), local.Month(), local.Day(), clock.Hour(), clock.Minute(), 0, 0, loc)
	if !by.After(accepted) {
		by = time.Date(local.Year(), local.Month(), local.Day()+1, clock.Hour(), clock.Minute(), 0, 0, loc)
	}
	return by
}

func (a ClientAccount) check() error {
	if a.Rate < 0 || a.Burst < 0 {
		return berylerror.Invalid.Errorf("rate and burst must not be negative")
	}
	if !a.Quota.Empty() {
		if err := a.Quota.Check(); err != nil {
			return berylerror.Invalid.Wrap(err, "quota")
		}
	}
	for _, g := range a.Guarantees {
		if g.Count < 1 || g.Count > _maxCount {
			return berylerror.Invalid.Errorf("number of units %d in a guarantee is not between 1 and %d", g.Count, _maxCount)
		}
		if err := g.Shape.Check(); err != nil {
			return err
		}
	}
	return nil
}

func (FailureDomain) check() error { return nil }
