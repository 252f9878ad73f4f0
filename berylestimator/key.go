package berylestimator

import (
	"cmp"
	"strings"
)

// level is the fineness of a key, from the coarsest.
type level int

const (
	_byQueue level = iota
	_byShape
	_byAccount
	_byImage
	_levels
)

const _fromDeclared = "declared"

// String returns the name of the field that the level distinguishes in addition to those
// of the coarser ones.
func (l level) String() string {
	return [...]string{"queue", "shape", "account", "image"}[min(max(l, 0), _levels-1)]
}

// key selects the runs that are alike. Fields of finer levels are zero.
type key struct {
	level          level
	service, queue string
	shape          Shape
	account, image string
}

// key returns the key of a task at a level. It returns false if the task does not have
// the field of that level, or if a name is too long.
func (t Task) key(l level) (key, bool) {
	k := key{level: l, service: t.Service, queue: t.Queue}
	present := t.Queue != ""
	if l >= _byShape {
		k.shape = t.Shape
		present = t.Shape != Shape{}
	}
	if l >= _byAccount {
		k.account = t.Account
		present = t.Account != ""
	}
	if l >= _byImage {
		k.image = t.Image
		present = t.Image != ""
	}
	return k, present && k.short()
}

// short reports whether no name is too long.
func (k key) short() bool {
	return max(len(k.service), len(k.queue), len(k.account), len(k.image)) <= _maxName
}

// compare orders keys of the same level.
func (k key) compare(o key) int {
	return cmp.Or(
		strings.Compare(k.service, o.service), strings.Compare(k.queue, o.queue),
		k.shape.compare(o.shape),
		strings.Compare(k.account, o.account), strings.Compare(k.image, o.image),
	)
}

func (s Shape) compare(o Shape) int {
	if s.Gang != o.Gang {
		if s.Gang {
			return 1
		}
		return -1
	}
	return cmp.Or(cmp.Compare(s.CountClass, o.CountClass), cmp.Compare(s.Accelerators, o.Accelerators), cmp.Compare(s.Step, o.Step))
}
