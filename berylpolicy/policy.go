// Package berylpolicy has the operators' desired state in the form used for
// decisions.
//
// A [Policy] is immutable. A process replaces it only by one with a higher
// version.
package berylpolicy

import (
	"strings"
	"time"
)

// Policy is one version of the desired state, with the failure domains that are
// out of service.
type Policy struct {
	Version  int64
	Queues   []Queue
	Accounts []Account
	// Services are the known groups of backend servers, by name.
	Services map[string]Service
	// MaxBody limits the body of a client's request, in bytes.
	MaxBody int64
	// MaxHeader limits the header of a client's request, in bytes.
	MaxHeader int
	// OutOfService has the failure domains that get no new work.
	OutOfService map[string]bool
}

// Queue accepts jobs of one kind.
type Queue struct {
	Name string
	// Host and Prefix select the queue for a request.
	Host, Prefix string
	// Service is the group of backend servers that run its tasks.
	Service string
	// Priority orders queues; zero is the most urgent and may preempt.
	Priority int
	// Attempts is the number of failures of a task after which its job has failed.
	Attempts int
	// Stretch times the duration of the longest chain of work, plus Target, is the
	// time within which a job should be complete.
	Stretch float64
	Target  time.Duration
	// Timeout limits a request on this queue.
	Timeout time.Duration
	// Public queues require no key.
	Public bool
	// Advised queues require a ticket from the advice service for each start.
	Advised bool
}

// Account is a client account.
type Account struct {
	Name string
	Keys []string
	// Guaranteed is the number of accelerators that jobs of the account with
	// priority zero can claim at any time.
	Guaranteed int
}

// Service is a group of backend servers.
type Service struct {
	Name string
	// AdmissionCheck means that its backend servers refuse runs that do not fit.
	AdmissionCheck bool
	// Spare means that its VMs are switched off.
	Spare bool
}

// Find returns the queue for a host and path: the one with the longest matching
// prefix.
func (p *Policy) Find(host, path string) (Queue, bool) {
	best := -1
	for i, q := range p.Queues {
		if q.Host != host || !strings.HasPrefix(path, q.Prefix) {
			continue
		}
		if best < 0 || len(q.Prefix) > len(p.Queues[best].Prefix) {
			best = i
		}
	}
	if best < 0 {
		return Queue{}, false
	}
	return p.Queues[best], true
}

// Queue returns the queue with the given name.
func (p *Policy) Queue(name string) (Queue, bool) {
	for _, q := range p.Queues {
		if q.Name == name {
			return q, true
		}
	}
	return Queue{}, false
}

// Account returns the client account that holds the key.
func (p *Policy) Account(key string) (Account, bool) {
	if key == "" {
		return Account{}, false
	}
	for _, a := range p.Accounts {
		for _, k := range a.Keys {
			if k == key {
				return a, true
			}
		}
	}
	return Account{}, false
}

// Guaranteed returns the guaranteed accelerators of an account by name.
func (p *Policy) Guaranteed(account string) int {
	for _, a := range p.Accounts {
		if a.Name == account {
			return a.Guaranteed
		}
	}
	return 0
}
