package beryloutlook_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"berylglade/beryloutlook"
	"berylglade/berylpolicy"
	"berylglade/berylroom"
	"berylglade/berylwork"
)

// outlook is that of two racks of two backend servers, with urgent work for 30 s and
// routine work for 300 s ahead.
func outlook() *beryloutlook.Outlook {
	s := beryloutlook.Service{Name: "s", Complete: true, Accelerators: 32}
	for _, rack := range []string{"r1-1", "r1-1", "r1-2", "r1-2"} {
		s.AddHost(rack, []string{"a", rack}, berylroom.Resources{Millicores: 32_000, Megabytes: 128_000, Accelerators: 8})
	}
	for range 30 {
		s.Add(0, 2*time.Second, 32*time.Second)
		s.Add(1, 20*time.Second, 320*time.Second)
	}
	return &beryloutlook.Outlook{Epoch: 1, Services: []beryloutlook.Service{s}, Urgent: map[string]int{"a": 8}}
}

// Clients submit jobs while work for minutes is ahead. Guards against jobs that are accepted
// although they are of no use any more or fit nowhere, and against rejections of jobs that
// the work ahead doesn't delay, that are guaranteed, or of which too little is known.
func TestCheck(t *testing.T) {
	step := berylwork.Step{Count: 2, Need: berylroom.Resources{Millicores: 1000, Accelerators: 8}, Estimate: 2000, Gang: true}
	urgent := berylpolicy.Queue{Name: "u", Service: "s", Stretch: 1.5}
	routine := berylpolicy.Queue{Name: "r", Service: "s", Priority: 1, Stretch: 3, Target: time.Second}
	tests := []struct {
		name       string
		queue      berylpolicy.Queue
		change     func(s *berylwork.Step)
		times      int
		guaranteed int
		age        time.Duration
		partial    bool
		none       bool
		want       bool
	}{
		{name: "urgent job behind urgent work", queue: urgent, want: true},
		{name: "urgent job within its guarantee", queue: urgent, guaranteed: 24},
		{name: "urgent job beyond its guarantee", queue: urgent, guaranteed: 16, want: true},
		{name: "urgent job with time", queue: urgent, change: func(s *berylwork.Step) { s.Estimate = 5000 }},
		{name: "routine job behind all work", queue: routine, change: func(s *berylwork.Step) { s.Estimate = 12_000 }, want: true},
		{name: "routine job that is due before the others", queue: routine},
		{name: "routine job with time", queue: routine, change: func(s *berylwork.Step) { s.Estimate = 60_000 }},
		{name: "long-running job", queue: routine, change: func(s *berylwork.Step) { s.LongRunning = true }},
		{name: "no declared time", queue: routine, change: func(s *berylwork.Step) { s.Estimate = 0 }},
		{name: "scheduled job", queue: routine, times: 3},
		{name: "unknown service", queue: berylpolicy.Queue{Service: "other"}},
		{name: "summary too old", queue: routine, age: 4 * time.Second},
		{name: "no summary", queue: routine, none: true},
		{name: "task larger than any host", queue: urgent, guaranteed: 24, change: func(s *berylwork.Step) { s.Need.Accelerators = 9 }, want: true},
		{name: "task larger than any known host", queue: urgent, guaranteed: 24, change: func(s *berylwork.Step) { s.Need.Millicores = 99_000 }, partial: true},
		{name: "label of no host", queue: urgent, guaranteed: 24, change: func(s *berylwork.Step) { s.Label = "b" }, want: true},
		{name: "gang larger than all hosts", queue: urgent, guaranteed: 99, change: func(s *berylwork.Step) { s.Count = 5 }, want: true},
		{name: "gang that may not share hosts", queue: urgent, guaranteed: 99, change: func(s *berylwork.Step) { s.Count, s.Need.Accelerators, s.MaxPerHost = 5, 1, 1 }, want: true},
		{name: "many tasks that need not run together", queue: urgent, guaranteed: 99, change: func(s *berylwork.Step) { s.Count, s.Need.Accelerators, s.MaxPerHost, s.Gang = 9, 1, 1, false }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := step
			if tt.change != nil {
				tt.change(&s)
			}
			o := outlook()
			o.Services[0].Complete = !tt.partial
			if tt.none {
				o = nil
			}
			r := o.Check(tt.age, beryloutlook.Request{
				Work: &berylwork.Work{Steps: []berylwork.Step{s}, Times: tt.times}, Queue: tt.queue, Account: "a", Guaranteed: tt.guaranteed,
			})
			is.Equal(r != nil, tt.want)
			if r != nil {
				is.True(r.Wait > 0 && r.Wait <= 30*time.Second)
			}
		})
	}
}

// Guards against a summary that grows with the number of jobs and backend servers.
func TestSizeOfOutlook(t *testing.T) {
	is := is.New(t)
	var s beryloutlook.Service
	for i := range 1000 {
		s.Add(i%3, time.Duration(i-10)*time.Hour, time.Second)
		s.AddHost("r", []string{"a"}, berylroom.Resources{Accelerators: 8})
	}
	is.True(len(s.Work) <= 36)
	is.Equal(len(s.Hosts), 1)
}
