// Package berylconfiglint checks a configuration of the system's own interface before it is
// published, beyond its syntax. docs/CHECK.md lists the rules. The platform's desired state is
// checked by beryllint, whose findings it returns.
package berylconfiglint

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"

	"berylglade/berylconfig"
	"berylglade/beryllint"
	"berylglade/berylshape"
)

// Check checks a configuration of the system's own interface.
func Check(c *berylconfig.Config) []beryllint.Finding {
	var list []beryllint.Finding
	for _, name := range slices.Sorted(maps.Keys(c.Classes)) {
		list = append(list, classFindings("classes/"+name, c.Classes[name])...)
	}
	hashes := map[string]string{}
	for _, name := range slices.Sorted(maps.Keys(c.Accounts)) {
		a := c.Accounts[name]
		place := "accounts/" + name
		list = append(list, configAccountFindings(place, a, len(c.Domains))...)
		if other, taken := hashes[a.Hash]; taken && a.Hash != "" {
			list = append(list, beryllint.Finding{Rule: "shared-key", Error: true, Place: place, Text: "has the token of account " + other + ", to which its requests are counted"})
			continue
		}
		hashes[a.Hash] = name
	}
	out := 0
	for _, name := range slices.Sorted(maps.Keys(c.Domains)) {
		d := c.Domains[name]
		if d.Out {
			out++
		}
		if !d.Out && d.Grace > 0 {
			list = append(list, beryllint.Finding{Rule: "grace-unused", Place: "domains/" + name, Text: "grace has no effect on a failure domain that is not out"})
		}
	}
	if out > 0 && out == len(c.Domains) {
		list = append(list, beryllint.Finding{Rule: "all-out", Error: true, Place: "domains", Text: "every failure domain is out, so that nothing starts"})
	}
	return list
}

func classFindings(place string, c berylconfig.Class) []beryllint.Finding {
	var list []beryllint.Finding
	if c.Stop > 0 && !c.Checkpoint {
		list = append(list, beryllint.Finding{Rule: "stop-unused", Place: place, Text: "stop has no effect without checkpoint"})
	}
	if w := c.Target.Within; w > 0 && c.Checkpoint && c.Stop > w {
		list = append(list, beryllint.Finding{Rule: "stop-over-target", Error: true, Place: place, Text: fmt.Sprintf("stopping takes up to %s, and the target is %s", c.Stop.Std(), w.Std())})
	}
	return list
}

func configAccountFindings(place string, a berylconfig.ClientAccount, domains int) []beryllint.Finding {
	var list []beryllint.Finding
	add := func(rule string, isError bool, format string, args ...any) {
		list = append(list, beryllint.Finding{Rule: rule, Error: isError, Place: place, Text: fmt.Sprintf(format, args...)})
	}
	if a.Hash == "" {
		add("no-key", false, "no hash of a token, so that the account can't send requests")
	}
	if a.Burst > 0 && a.Rate <= 0 {
		add("burst-unused", false, "burst has no effect without rate")
	}
	var sum berylshape.Shape
	for i, g := range a.Guarantees {
		sum = sum.Add(g.Shape.Times(g.Count))
		if g.Spare && domains == 1 {
			add("spare-one-domain", true, "guarantee %d can't hold without one failure domain, as there is only one", i)
		}
	}
	if !a.Quota.Empty() && !withinQuota(sum, a.Quota) {
		add("quota-under-guarantee", true, "guarantees of %v together are above the quota of %v", sum, a.Quota)
	}
	return list
}

// withinQuota reports whether s fits into the quota, in which zero means no limit.
func withinQuota(s, quota berylshape.Shape) bool {
	return (quota.Accelerators == 0 || s.Accelerators <= quota.Accelerators) &&
		(quota.Cores == 0 || s.Cores <= quota.Cores) &&
		(quota.Memory == 0 || s.Memory <= quota.Memory)
}

// Changes returns what a file would change in the configuration in force. Set has the
// values of the file by key, in which null removes a key.
func Changes(inForce, set map[string]json.RawMessage) []beryllint.Change {
	var list []beryllint.Change
	for key, value := range set {
		kind, _, _ := strings.Cut(key, "/")
		weight := map[string]beryllint.Weight{"accounts": beryllint.WeightAccess, "domains": beryllint.WeightRoom, "classes": beryllint.WeightTarget}[kind]
		was, known := inForce[key]
		known = known && string(was) != _null
		switch {
		case string(value) == _null && known:
			list = append(list, beryllint.Change{Kind: beryllint.Removed, Place: key, Weight: weight, Text: "was " + shownValue(was)})
		case string(value) == _null:
		case !known:
			list = append(list, beryllint.Change{Kind: beryllint.Added, Place: key, Weight: weight, Text: shownValue(value)})
		default:
			list = append(list, fieldChanges(key, weight, was, value)...)
		}
	}
	beryllint.SortChanges(list)
	return list
}

// fieldChanges compares the fields of two JSON objects.
func fieldChanges(place string, weight beryllint.Weight, was, value json.RawMessage) []beryllint.Change {
	var a, b map[string]json.RawMessage
	if json.Unmarshal(was, &a) != nil || json.Unmarshal(value, &b) != nil {
		return nil
	}
	var list []beryllint.Change
	for _, name := range slices.Sorted(maps.Keys(merged(a, b))) {
		before, after := shownField(name, a[name]), shownField(name, b[name])
		if string(a[name]) != string(b[name]) {
			list = append(list, beryllint.Change{Kind: beryllint.Changed, Place: place, Weight: weight, Text: fmt.Sprintf("%s %s, was %s", name, after, before)})
		}
	}
	return list
}

func merged(a, b map[string]json.RawMessage) map[string]json.RawMessage {
	all := maps.Clone(a)
	maps.Copy(all, b)
	return all
}

// shownField returns a value for an operator. A hash of a token is not shown.
func shownField(name string, value json.RawMessage) string {
	switch {
	case value == nil:
		return "unset"
	case name == _hashField:
		return "(hash)"
	default:
		return string(value)
	}
}

// shownValue returns the fields of a JSON object for an operator.
func shownValue(value json.RawMessage) string {
	var fields map[string]json.RawMessage
	if json.Unmarshal(value, &fields) != nil {
		return string(value)
	}
	list := make([]string, 0, len(fields))
	for _, name := range slices.Sorted(maps.Keys(fields)) {
		list = append(list, name+" "+shownField(name, fields[name]))
	}
	return strings.Join(list, ", ")
}

const (
	_null      = "null"
	_hashField = "hash"
)
