package beryllint_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"berylglade/beryllint"
	"berylglade/berylpolicy"
)

func policy() *berylpolicy.Policy {
	return &berylpolicy.Policy{
		Version: 7,
		Queues: []berylpolicy.Queue{
			{Name: "u", Host: "h", Prefix: "/u/", Service: "s", Attempts: 2, Stretch: 1.5, Timeout: time.Second},
			{Name: "r", Host: "h", Prefix: "/r/", Service: "s", Priority: 1, Attempts: 3, Stretch: 3, Timeout: time.Second},
		},
		Services: map[string]berylpolicy.Service{"s": {Name: "s"}},
		Accounts: []berylpolicy.Account{{Name: "a", Keys: []string{"k1"}, Guaranteed: 8}, {Name: "b", Keys: []string{"k2"}}},
	}
}

// One test for each rule. Guards against desired states that take effect with entries that
// never match or contradict each other, and against findings in one that is sound.
func TestPolicyRules(t *testing.T) {
	tests := []struct {
		rule    string
		change  func(p *berylpolicy.Policy)
		place   string
		warning bool
	}{
		{rule: "shadowed", change: func(p *berylpolicy.Policy) { p.Queues[1].Prefix = "/u/" }, place: "queues/r"},
		{rule: "same-name", change: func(p *berylpolicy.Policy) { p.Queues[1].Name = "u" }, place: "queues/u"},
		{rule: "no-service", change: func(p *berylpolicy.Policy) { p.Queues[1].Service = "t" }, place: "queues/r"},
		{rule: "service-off", change: func(p *berylpolicy.Policy) { p.Services["s"] = berylpolicy.Service{Spare: true} }, place: "queues/u", warning: true},
		{rule: "no-attempts", change: func(p *berylpolicy.Policy) { p.Queues[0].Attempts = 0 }, place: "queues/u"},
		{rule: "no-time", change: func(p *berylpolicy.Policy) { p.Queues[0].Stretch = 0.5 }, place: "queues/u"},
		{rule: "no-timeout", change: func(p *berylpolicy.Policy) { p.Queues[0].Timeout = 0 }, place: "queues/u", warning: true},
		{rule: "advice", change: func(p *berylpolicy.Policy) { p.Queues[0].Advised = true }, place: "queues/u", warning: true},
		{rule: "unused-service", change: func(p *berylpolicy.Policy) { p.Services["t"] = berylpolicy.Service{} }, place: "services/t", warning: true},
		{rule: "same-name", change: func(p *berylpolicy.Policy) { p.Accounts[1].Name = "a" }, place: "accounts/a"},
		{rule: "no-key", change: func(p *berylpolicy.Policy) { p.Accounts[1].Keys = nil }, place: "accounts/b", warning: true},
		{rule: "empty-key", change: func(p *berylpolicy.Policy) { p.Accounts[1].Keys[0] = "" }, place: "accounts/b"},
		{rule: "shared-key", change: func(p *berylpolicy.Policy) { p.Accounts[1].Keys[0] = "k1" }, place: "accounts/b"},
		{rule: "guarantee-negative", change: func(p *berylpolicy.Policy) { p.Accounts[1].Guaranteed = -1 }, place: "accounts/b"},
		{rule: "guarantee-unused", change: func(p *berylpolicy.Policy) { p.Queues[0].Priority = 2 }, place: "accounts", warning: true},
		{rule: "guarantees-over-room", change: func(p *berylpolicy.Policy) { p.Accounts[1].Guaranteed = 60 }, place: "accounts"},
	}
	const accelerators = 64
	is.New(t).Equal(len(beryllint.Policy(policy(), accelerators)), 0)
	for _, tt := range tests {
		t.Run(tt.rule, func(t *testing.T) {
			is := is.New(t)
			p := policy()
			tt.change(p)
			found := false
			for _, f := range beryllint.Policy(p, accelerators) {
				found = found || (f.Rule == tt.rule && f.Place == tt.place && f.Error != tt.warning)
			}
			is.True(found)
		})
	}
}

// Guards against a change that takes something away from callers and stands behind others,
// or isn't listed; and against keys that are printed.
func TestPolicyChanges(t *testing.T) {
	is := is.New(t)
	p := policy()
	p.Version = 8
	p.Queues[0].Stretch = 2
	p.Queues[1] = berylpolicy.Queue{Name: "n", Host: "h", Prefix: "/n/", Service: "s"}
	p.Accounts[0].Keys = []string{"k3"}
	p.Accounts[0].Guaranteed = 4
	p.Accounts = p.Accounts[:1]
	var got []string
	for _, c := range beryllint.PolicyChanges(policy(), p) {
		got = append(got, c.Kind+" "+c.Place+": "+c.Text)
	}
	is.Equal(got, []string{
		"removed accounts/b: its requests are refused",
		"removed queues/r: its requests are refused; jobs that were accepted go on",
		"changed accounts/a: 1 API keys removed, 1 added",
		"changed accounts/a: guarantee 4 accelerators, was 8",
		"changed queues/u: stretch 2, was 1.5",
		"added queues/n: host h, path /n/, service s, priority 0",
	})
	is.Equal(beryllint.PolicyChanges(policy(), policy())[0].Place, "version") // it would not take effect
}
