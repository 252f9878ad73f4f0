package berylestimator

import (
	"cmp"
	"slices"
)

// Known is what is known of the runs of one key, for operators.
type Known struct {
	// Level is the finest field of the key: "queue", "shape", "account" or "image". Fields
	// of finer levels are empty.
	Level   string `json:"level"`
	Service string `json:"service"`
	Queue   string `json:"queue"`
	Shape   Shape  `json:"shape,omitzero"`
	Account string `json:"account,omitempty"`
	Image   string `json:"image,omitempty"`
	// Ends and Cuts are the numbers of runs that are kept.
	Ends int `json:"ends"`
	Cuts int `json:"cuts"`
	// Used is true if there are enough ends. The following are zero otherwise.
	Used     bool  `json:"used"`
	MedianMS int64 `json:"medianMs"`
	HighMS   int64 `json:"highMs"`
	// Ratio is the median of the ratio to the declared run time, and ByRatio is true if
	// it predicts better than the run time itself.
	Ratio   float64 `json:"ratio"`
	ByRatio bool    `json:"byRatio"`
}

// Known returns what is known of a queue, from the coarsest key; of all keys if queue is
// empty.
func (e *Estimator) Known(queue string) []Known {
	keys := make([]key, 0, len(e.histories))
	for k := range e.histories {
		if queue == "" || k.queue == queue {
			keys = append(keys, k)
		}
	}
	slices.SortFunc(keys, func(a, b key) int { return cmp.Or(cmp.Compare(a.level, b.level), a.compare(b)) })
	out := make([]Known, 0, len(keys))
	for _, k := range keys {
		out = append(out, e.histories[k].known(k))
	}
	return out
}

func (h *history) known(k key) Known {
	n := Known{
		Level: k.level.String(), Service: k.service, Queue: k.queue, Shape: k.shape, Account: k.account, Image: k.image,
		Used: h.learned, ByRatio: h.byRatio,
	}
	for _, s := range h.runs {
		if s.cut {
			n.Cuts++
		} else {
			n.Ends++
		}
	}
	if !h.learned {
		return n
	}
	n.MedianMS = decodeTime(h.took.median).Milliseconds()
	n.HighMS = decodeTime(h.took.high).Milliseconds()
	if h.ratio.median != 0 {
		n.Ratio = decodeRatio(h.ratio.median)
	}
	return n
}
