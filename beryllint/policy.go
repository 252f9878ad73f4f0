package beryllint

import (
	"fmt"
	"slices"
	"strings"

	"berylglade/berylpolicy"
)

// Policy checks a desired state. Accelerators is the number of accelerators of the site;
// zero if it is not known.
func Policy(p *berylpolicy.Policy, accelerators int) []Finding {
	return slices.Concat(queueFindings(p), serviceFindings(p), accountFindings(p), guaranteeFindings(p, accelerators))
}

func queueFindings(p *berylpolicy.Policy) []Finding {
	var list []Finding
	for i, q := range p.Queues {
		place := "queues/" + q.Name
		add := func(rule string, isError bool, format string, args ...any) {
			list = append(list, Finding{Rule: rule, Error: isError, Place: place, Text: fmt.Sprintf(format, args...)})
		}
		for _, earlier := range p.Queues[:i] {
			if earlier.Host == q.Host && earlier.Prefix == q.Prefix {
				add("shadowed", true, "queue %s before it has the same host and path, so no request reaches this one", earlier.Name)
			}
			if earlier.Name == q.Name {
				add("same-name", true, "another queue has this name, and jobs can't be told apart")
			}
		}
		service, known := p.Services[q.Service]
		switch {
		case !known:
			add("no-service", true, "service %q does not exist, so its jobs never start", q.Service)
		case service.Spare:
			add("service-off", false, "the backend servers of service %q are switched off", q.Service)
		}
		if q.Attempts < 1 {
			add("no-attempts", true, "maximum number of attempts is %d", q.Attempts)
		}
		if q.Stretch < 1 && q.Target <= 0 {
			add("no-time", true, "jobs have less time than their work takes: stretch %g and no target", q.Stretch)
		}
		if q.Timeout <= 0 {
			add("no-timeout", false, "no limit for the time of a request")
		}
		if q.Advised {
			add("advice", false, "starts need tickets, which are not supported; its jobs are refused")
		}
	}
	return list
}

func serviceFindings(p *berylpolicy.Policy) []Finding {
	var list []Finding
	for name := range p.Services {
		if !slices.ContainsFunc(p.Queues, func(q berylpolicy.Queue) bool { return q.Service == name }) && !p.Services[name].Spare {
			list = append(list, Finding{Rule: "unused-service", Place: "services/" + name, Text: "no queue uses this service"})
		}
	}
	slices.SortFunc(list, func(a, b Finding) int { return strings.Compare(a.Place, b.Place) })
	return list
}

func accountFindings(p *berylpolicy.Policy) []Finding {
	var list []Finding
	owner := map[string]string{}
	names := map[string]bool{}
	for _, a := range p.Accounts {
		place := "accounts/" + a.Name
		if names[a.Name] {
			list = append(list, Finding{Rule: "same-name", Error: true, Place: place, Text: "another account has this name"})
		}
		names[a.Name] = true
		if len(a.Keys) == 0 {
			list = append(list, Finding{Rule: "no-key", Place: place, Text: "no API key, so that the account can't send requests"})
		}
		for i, key := range a.Keys {
			other, taken := owner[key]
			switch {
			case key == "":
				list = append(list, Finding{Rule: "empty-key", Error: true, Place: place, Text: fmt.Sprintf("API key %d is empty and never matches", i)})
			case taken && other != a.Name:
				list = append(list, Finding{Rule: "shared-key", Error: true, Place: place, Text: fmt.Sprintf("API key %d is that of account %s, to which its requests are counted", i, other)})
			case !taken:
				owner[key] = a.Name
			}
		}
	}
	return list
}

func guaranteeFindings(p *berylpolicy.Policy, accelerators int) []Finding {
	var list []Finding
	sum := 0
	for _, a := range p.Accounts {
		sum += a.Guaranteed
		if a.Guaranteed < 0 {
			list = append(list, Finding{Rule: "guarantee-negative", Error: true, Place: "accounts/" + a.Name, Text: fmt.Sprintf("guarantee of %d accelerators", a.Guaranteed)})
		}
	}
	urgent := slices.ContainsFunc(p.Queues, func(q berylpolicy.Queue) bool { return q.Priority == 0 })
	if sum > 0 && !urgent {
		list = append(list, Finding{Rule: "guarantee-unused", Place: "accounts", Text: "guarantees hold for jobs of priority 0, which no queue has"})
	}
	if accelerators > 0 && sum > accelerators {
		list = append(list, Finding{
			Rule: "guarantees-over-room", Error: true, Place: "accounts",
			Text: fmt.Sprintf("guarantees of %d accelerators together, but there are %d", sum, accelerators),
		})
	}
	return list
}

// PolicyChanges returns what differs in a desired state from the one in force.
func PolicyChanges(inForce, p *berylpolicy.Policy) []Change {
	var list []Change
	add := func(kind, place string, weight Weight, format string, args ...any) {
		list = append(list, Change{Kind: kind, Place: place, Weight: weight, Text: fmt.Sprintf(format, args...)})
	}
	if p.Version <= inForce.Version {
		add(Changed, "version", WeightAccess, "%d is not above %d, so that it never takes effect", p.Version, inForce.Version)
	}
	for _, was := range inForce.Queues {
		q, ok := p.Queue(was.Name)
		place := "queues/" + was.Name
		if !ok {
			add(Removed, place, WeightAccess, "its requests are refused; jobs that were accepted go on")
			continue
		}
		for _, d := range queueDifferences(was, q) {
			add(Changed, place, d.Weight, "%s", d.Text)
		}
	}
	for _, q := range p.Queues {
		if _, ok := inForce.Queue(q.Name); !ok {
			add(Added, "queues/"+q.Name, WeightOther, "host %s, path %s, service %s, priority %d", q.Host, q.Prefix, q.Service, q.Priority)
		}
	}
	for name := range inForce.Services {
		if _, ok := p.Services[name]; !ok {
			add(Removed, "services/"+name, WeightRoom, "nothing is started on its backend servers")
		}
	}
	list = append(list, accountChanges(inForce, p)...)
	SortChanges(list)
	return list
}

func queueDifferences(was, q berylpolicy.Queue) []Change {
	fields := []struct {
		name     string
		weight   Weight
		old, new any
	}{
		{"host", WeightAccess, was.Host, q.Host},
		{"path", WeightAccess, was.Prefix, q.Prefix},
		{"public", WeightAccess, was.Public, q.Public},
		{"service", WeightRoom, was.Service, q.Service},
		{"priority", WeightTarget, was.Priority, q.Priority},
		{"stretch", WeightTarget, was.Stretch, q.Stretch},
		{"target", WeightTarget, was.Target, q.Target},
		{"attempts", WeightTarget, was.Attempts, q.Attempts},
		{"timeout", WeightTarget, was.Timeout, q.Timeout},
		{"tickets", WeightAccess, was.Advised, q.Advised},
	}
	var list []Change
	for _, f := range fields {
		if f.old != f.new {
			list = append(list, Change{Weight: f.weight, Text: fmt.Sprintf("%s %v, was %v", f.name, f.new, f.old)})
		}
	}
	return list
}

func accountChanges(inForce, p *berylpolicy.Policy) []Change {
	var list []Change
	byName := func(accounts []berylpolicy.Account, name string) (berylpolicy.Account, bool) {
		i := slices.IndexFunc(accounts, func(a berylpolicy.Account) bool { return a.Name == name })
		if i < 0 {
			return berylpolicy.Account{}, false
		}
		return accounts[i], true
	}
	for _, was := range inForce.Accounts {
		a, ok := byName(p.Accounts, was.Name)
		place := "accounts/" + was.Name
		if !ok {
			list = append(list, Change{Kind: Removed, Place: place, Weight: WeightAccess, Text: "its requests are refused"})
			continue
		}
		removed := countMissing(was.Keys, a.Keys)
		added := countMissing(a.Keys, was.Keys)
		if removed > 0 || added > 0 {
			list = append(list, Change{Kind: Changed, Place: place, Weight: WeightAccess, Text: fmt.Sprintf("%d API keys removed, %d added", removed, added)})
		}
		if a.Guaranteed != was.Guaranteed {
			list = append(list, Change{Kind: Changed, Place: place, Weight: WeightRoom, Text: fmt.Sprintf("guarantee %d accelerators, was %d", a.Guaranteed, was.Guaranteed)})
		}
	}
	for _, a := range p.Accounts {
		if _, ok := byName(inForce.Accounts, a.Name); !ok {
			list = append(list, Change{Kind: Added, Place: "accounts/" + a.Name, Weight: WeightOther, Text: fmt.Sprintf("%d API keys, guarantee %d accelerators", len(a.Keys), a.Guaranteed)})
		}
	}
	return list
}

// countMissing returns how many of the keys are not among others.
func countMissing(keys, others []string) int {
	n := 0
	for _, k := range keys {
		if !slices.Contains(others, k) {
			n++
		}
	}
	return n
}
