package berylintake

import (
	"fmt"
	"strings"

	"berylglade/berylwork"
)

// shape returns a short description of a job for the log.
func shape(w *berylwork.Work) string {
	if w == nil {
		return ""
	}
	var b strings.Builder
	if w.Times > 0 {
		fmt.Fprintf(&b, "%d times ", w.Times)
	}
	for _, s := range w.Steps {
		fmt.Fprintf(&b, "%dx%d", s.Count, s.Need.Accelerators)
		flags := []struct {
			set  bool
			mark string
		}{
			{s.Gang, " gang"},
			{s.OneRack, " rack"},
			{s.LongRunning, " lasting"},
			{s.BestEffortCPU, " fills"},
			{s.MayOverlap, " copies"},
			{s.Checkpoints, " saves"},
			{s.MaxPerHost > 0, " apart"},
			{s.Label != "", " label"},
			{s.MaxUnavailable > 0, " away"},
		}
		for _, f := range flags {
			if f.set {
				b.WriteString(f.mark)
			}
		}
		b.WriteString("; ")
	}
	return b.String()
}
