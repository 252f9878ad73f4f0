package berylqueue_test

import (
	"fmt"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"berylglade/berylqueue"
)

func at(minutes int) time.Time {
	return time.Date(2026, 3, 1, 0, minutes, 0, 0, time.UTC)
}

func order(q *berylqueue.Queue) []string {
	var out []string
	q.Walk(func(it berylqueue.Item) bool {
		out = append(out, it.ID)
		return true
	})
	return out
}

// TestWalkOrder guards against items that are visited after items with more slack.
func TestWalkOrder(t *testing.T) {
	tests := []struct {
		name     string
		noAgeing bool
		give     []berylqueue.Item
		want     []string
	}{
		{
			name: "least slack first",
			give: []berylqueue.Item{
				{ID: "a", Deadline: at(120), RunTime: time.Minute},
				{ID: "b", Deadline: at(130), RunTime: time.Hour},
				{ID: "c", Deadline: at(60)},
			},
			want: []string{"c", "b", "a"},
		},
		{
			name: "ties by start of the wait and then by ID",
			give: []berylqueue.Item{
				{ID: "c", Deadline: at(10), WaitingSince: at(1)},
				{ID: "b", Deadline: at(11), WaitingSince: at(0)},
				{ID: "a", Deadline: at(10), WaitingSince: at(1)},
			},
			want: []string{"b", "a", "c"},
		},
		{
			name: "old best effort before new deadline",
			give: []berylqueue.Item{{ID: "new", Deadline: at(800), WaitingSince: at(700)}, {ID: "old", WaitingSince: at(0)}},
			want: []string{"old", "new"},
		},
		{
			name:     "without ageing best effort is last",
			noAgeing: true,
			give:     []berylqueue.Item{{ID: "old", WaitingSince: at(0)}, {ID: "new", Deadline: at(9000), WaitingSince: at(8000)}},
			want:     []string{"new", "old"},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			q := &berylqueue.Queue{NoAgeing: tt.noAgeing}
			for _, it := range tt.give {
				q.Put(it)
			}
			is.Equal(order(q), tt.want)
		})
	}
}

// TestPutAndRemove guards against items that are lost, duplicated or out of order after
// any sequence of changes and walks.
func TestPutAndRemove(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		q := &berylqueue.Queue{}
		want := map[string]time.Time{}
		rt.Repeat(map[string]func(*rapid.T){
			"put": func(rt *rapid.T) {
				id := strconv.Itoa(rapid.IntRange(0, 20).Draw(rt, "id"))
				want[id] = at(rapid.IntRange(0, 100).Draw(rt, "deadline"))
				q.Put(berylqueue.Item{ID: id, Deadline: want[id], WaitingSince: at(0)})
			},
			"remove": func(rt *rapid.T) {
				id := strconv.Itoa(rapid.IntRange(0, 20).Draw(rt, "id"))
				_, ok := want[id]
				if q.Remove(id) != ok {
					rt.Fatalf("Remove(%s) did not return %v", id, ok)
				}
				delete(want, id)
			},
			"": func(rt *rapid.T) {
				got := order(q)
				if len(got) != len(want) || q.Len() != len(want) {
					rt.Fatalf("got %v, want the keys of %v", got, want)
				}
				if !slices.IsSortedFunc(got, func(a, b string) int { return want[a].Compare(want[b]) }) {
					rt.Fatalf("items %v are out of order", got)
				}
			},
		})
	})
}

// BenchmarkRemove shows that the cost of one removal does not grow with the number of
// items removed at once. It includes the next walk, which deletes the removed entries.
func BenchmarkRemove(b *testing.B) {
	for _, wave := range []int{1, 100, 10_000} {
		b.Run(fmt.Sprintf("wave=%d", wave), func(b *testing.B) {
			ids := make([]string, wave)
			for i := range ids {
				ids[i] = strconv.Itoa(i)
			}
			var took time.Duration
			waves := 0
			for b.Loop() {
				q := &berylqueue.Queue{}
				for i, id := range ids {
					q.Put(berylqueue.Item{ID: id, Deadline: at(i)})
				}
				order(q)
				start := time.Now()
				for _, id := range ids {
					q.Remove(id)
				}
				order(q)
				took += time.Since(start)
				waves++
			}
			b.ReportMetric(float64(took.Nanoseconds())/float64(waves*wave), "ns/item")
		})
	}
}
