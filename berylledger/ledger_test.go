package berylledger

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"berylglade/berylanswer"
	"berylglade/berylerror"
	"berylglade/berylid"
)

func newID(epoch int64) berylid.ID { return berylid.New("a", "i", epoch) }

// Guards against answering another account, and against accepting ids of
// another incarnation or of forgotten epochs.
func TestAdmitRejects(t *testing.T) {
	start := time.Now()
	known := newID(1)
	tests := []struct {
		name    string
		give    berylid.ID
		account string
		after   time.Duration
		want    berylerror.Kind
	}{
		{name: "known", give: known, account: "x"},
		{name: "other account", give: known, account: "y", want: berylerror.Missing},
		{name: "other agent", give: berylid.New("b", "i", 1), account: "x", want: berylerror.Unknown},
		{name: "other incarnation", give: berylid.New("a", "j", 1), account: "x", want: berylerror.Unknown},
		{name: "epoch in the future", give: newID(2), account: "x", want: berylerror.Invalid},
		{name: "previous epoch", give: newID(1), account: "x", after: EpochLength},
		{name: "forgotten epoch", give: newID(1), account: "x", after: 2 * EpochLength, want: berylerror.Unknown},
		{name: "forgotten call", give: known, account: "x", after: 2 * EpochLength, want: berylerror.Unknown},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			l := New("a", "i", 0, start)
			_, err := l.Tombstone(start, known, "x")
			is.NoErr(err)
			_, err = l.Admit(start.Add(tt.after), tt.give, tt.account)
			is.Equal(err != nil, tt.want != 0)
			if tt.want != 0 {
				is.Equal(berylerror.Of(err), tt.want)
			}
		})
	}
}

// Guards against a second run after an answer was evicted, and against storing
// more than the limit.
func TestEviction(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	l := New("a", "i", 10, now)
	ids := []berylid.ID{newID(1), newID(1), newID(1)}
	for _, id := range ids {
		_, err := l.Admit(now, id, "x")
		is.NoErr(err)
		is.True(l.Begin(id))
		l.Finish(id, berylanswer.New(id.String(), "x", 200, make([]byte, 4)))
	}
	record, err := l.Find(now, ids[0], "x")
	is.NoErr(err)
	is.Equal(record.Phase, Evicted)
	record, err = l.Admit(now, ids[0], "x")
	is.NoErr(err)
	is.Equal(record.Phase, Evicted)
	record, err = l.Find(now, ids[2], "x")
	is.NoErr(err)
	is.Equal(record.Phase, Done)
	is.Equal(int(l.answerBytes), 8)
}

// Guards against a table of ids whose size grows with the rate of calls.
func TestEpochEndsEarly(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	l := New("a", "i", 0, now)
	for range 4 * MaxEpochCalls {
		id := newID(l.Epoch(now))
		_, err := l.Admit(now, id, "x")
		is.NoErr(err)
		l.Refuse(id)
	}
	total := 0
	for _, entries := range l.entries {
		total += len(entries)
	}
	is.True(total <= 2*MaxEpochCalls)
	is.Equal(l.epoch, int64(4))
}

// model is the expected state of one id.
type model struct {
	begun   int
	refused bool
	sum     string
}

// Guards against two runs of one id, a run after the call was reported as not
// run, an answer to another id, and stored answers above the limit, in any
// order of requests, outcomes and epochs.
func TestEachIDRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Now()
		l := New("a", "i", 20, now)
		var ids []berylid.ID
		models := map[berylid.ID]*model{}
		pick := func(t *rapid.T) (berylid.ID, *model) {
			if len(ids) == 0 {
				t.Skip("no id yet")
			}
			id := rapid.SampledFrom(ids).Draw(t, "id")
			return id, models[id]
		}
		t.Repeat(map[string]func(*rapid.T){
			"new": func(*rapid.T) {
				id := newID(l.Epoch(now))
				ids = append(ids, id)
				models[id] = &model{}
			},
			"admit": func(t *rapid.T) {
				id, m := pick(t)
				record, err := l.Admit(now, id, "x")
				if err == nil && record.Phase == Admitted && (m.begun > 0 || m.refused) {
					t.Fatalf("%s admitted again", id)
				}
			},
			"begin": func(t *rapid.T) {
				id, m := pick(t)
				if l.Begin(id) {
					m.begun++
				}
				if m.begun > 1 || (m.begun > 0 && m.refused) {
					t.Fatalf("%s has begun %d times, rejected %v", id, m.begun, m.refused)
				}
			},
			"finish": func(t *rapid.T) {
				id, m := pick(t)
				body := fmt.Sprintf("%0*d", rapid.IntRange(1, 9).Draw(t, "size"), len(ids))
				if l.entries[id.Epoch][id.Unique] != nil && l.entries[id.Epoch][id.Unique].record.Phase == Running {
					m.sum = body
				}
				l.Finish(id, berylanswer.New(id.String(), "x", 200, []byte(body)))
			},
			"lose": func(t *rapid.T) {
				id, _ := pick(t)
				l.Fail(id, berylerror.Unknown.Errorf("lost"))
			},
			"tombstone": func(t *rapid.T) {
				id, m := pick(t)
				confirmed, err := l.Tombstone(now, id, "x")
				if err == nil && confirmed {
					m.refused = true
				}
				if m.refused && m.begun > 0 {
					t.Fatalf("%s confirmed as not run after it had begun", id)
				}
			},
			"find": func(t *rapid.T) {
				id, m := pick(t)
				record, err := l.Find(now, id, "x")
				if err == nil && record.Phase == Done && record.Err == nil && string(record.Answer.Body) != m.sum {
					t.Fatalf("%s has answer %q, want %q", id, record.Answer.Body, m.sum)
				}
				if _, err := l.Find(now, id, "y"); err == nil {
					t.Fatalf("record of %s returned to another account", id)
				}
			},
			"time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 700).Draw(t, "seconds")) * time.Second)
			},
			"": func(t *rapid.T) {
				if l.answerBytes > l.answerLimit || l.answerBytes < 0 {
					t.Fatalf("answers take %d bytes, limit is %d", l.answerBytes, l.answerLimit)
				}
			},
		})
	})
}
