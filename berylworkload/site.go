package berylworkload

import (
	"fmt"
	"time"

	"berylglade/beryladjacency"
	"berylglade/berylconfig"
	"berylglade/berylduration"
	"berylglade/beryljob"
	"berylglade/berylshape"
	"berylglade/berylsize"
)

// Quabbin is one night at Quabbin: 12 hours from 18:00. Bloom mapping arrives
// in the evening and has to be done by 05:30; routine jobs come in bursts; one
// failure domain leaves and returns; one worker fails every task for a while.
func Quabbin(seed uint64) *Workload {
	const span = 12 * time.Hour
	start := siteTime("America/New_York", 18)
	b := newBuilder("quabbin", seed, start, span)
	total := berylshape.Shape{Accelerators: 8, Cores: 64, Memory: 128 * berylsize.GB}
	b.addWorkers("ware-east", 4, 3, total)
	b.addWorkers("belch-north", 3, 3, total)
	b.addWorkers("petersham", 3, 3, total)

	whole := berylshape.Shape{Accelerators: 8, Cores: 32, Memory: 64 * berylsize.GB}
	b.w.Config.Classes["bloom"] = berylconfig.Class{
		Target:     berylconfig.Target{By: "05:30", Zone: "America/New_York"},
		Idempotent: true, Checkpoint: true, Stop: seconds(20),
	}
	b.w.Config.Classes["routine"] = berylconfig.Class{
		Idempotent: true, Checkpoint: true, Stop: seconds(5),
	}
	b.w.Config.Classes["assign"] = berylconfig.Class{Target: berylconfig.Target{Within: seconds(120)}}
	b.w.Config.Classes["urgent"] = berylconfig.Class{
		Target: berylconfig.Target{Start: berylduration.Duration(1600 * time.Millisecond)}, Idempotent: true,
	}
	b.w.Config.Accounts["mapping"] = berylconfig.ClientAccount{Guarantees: []berylconfig.Guarantee{
		{Shape: whole, Count: 2, Adjacent: beryladjacency.Rack, Spare: true},
	}}
	b.w.Config.Accounts["rota"] = berylconfig.ClientAccount{Guarantees: []berylconfig.Guarantee{
		{Shape: berylshape.Shape{Accelerators: 1, Cores: 4, Memory: 8 * berylsize.GB}, Count: 4},
	}}
	b.w.Config.Accounts["research"] = berylconfig.ClientAccount{}
	b.w.Config.Accounts["growers"] = berylconfig.ClientAccount{}

	for range 6 {
		tasks := 1 + b.rnd.IntN(2)
		b.add(b.between(start, start.Add(4*time.Hour)), b.lognormal(100*time.Minute, 0.3), beryljob.Job{
			Account: "mapping", Class: "bloom", Tasks: tasks, Shape: whole, Adjacent: beryladjacency.Rack,
		})
	}
	b.routine("research", 260, 25*time.Minute, span)
	b.exports("research", 40, span)
	b.routine("growers", 120, 15*time.Minute, span)
	b.small("rota", "assign", 80, 40*time.Second, span)
	b.small("rota", "urgent", 24, 30*time.Second, span)
	b.faults(start, "petersham", "belch-north-0001")
	return b.done()
}

// Ribnica is one working day at Ribnica: 10 hours from 07:00. Drafts and patient
// work have targets within minutes; costings run in the background; one failure
// domain leaves and returns.
func Ribnica(seed uint64) *Workload {
	const span = 10 * time.Hour
	start := siteTime("Europe/Ljubljana", 7)
	b := newBuilder("ribnica", seed, start, span)
	total := berylshape.Shape{Accelerators: 8, Cores: 128, Memory: 256 * berylsize.GB}
	b.addWorkers("ribnica", 4, 3, total)
	b.addWorkers("sodrazica", 3, 3, total)
	b.addWorkers("velike-lasce", 3, 3, total)

	half := berylshape.Shape{Accelerators: 4, Cores: 32, Memory: 64 * berylsize.GB}
	b.w.Config.Classes["draft"] = berylconfig.Class{
		Target: berylconfig.Target{Within: seconds(20 * 60)}, Idempotent: true, Checkpoint: true, Stop: seconds(5),
	}
	b.w.Config.Classes["patient"] = berylconfig.Class{
		Target: berylconfig.Target{Within: seconds(4 * 3600)}, Idempotent: true, Checkpoint: true, Stop: seconds(10),
	}
	b.w.Config.Classes["sorting"] = berylconfig.Class{Target: berylconfig.Target{Within: seconds(300)}}
	b.w.Config.Classes["routine"] = berylconfig.Class{Idempotent: true, Checkpoint: true, Stop: seconds(5)}
	b.w.Config.Classes["urgent"] = berylconfig.Class{
		Target: berylconfig.Target{Start: berylduration.Duration(1600 * time.Millisecond)}, Idempotent: true,
	}
	b.w.Config.Accounts["weavers"] = berylconfig.ClientAccount{Guarantees: []berylconfig.Guarantee{
		{Shape: half, Count: 3, Spare: true},
	}}
	b.w.Config.Accounts["cooperatives"] = berylconfig.ClientAccount{Guarantees: []berylconfig.Guarantee{
		{Shape: berylshape.Shape{Accelerators: 1, Cores: 8, Memory: 16 * berylsize.GB}, Count: 4},
	}}
	b.w.Config.Accounts["apprentices"] = berylconfig.ClientAccount{}
	b.w.Config.Accounts["agency"] = berylconfig.ClientAccount{}

	for range 60 {
		b.add(b.between(start, start.Add(span)), b.lognormal(5*time.Minute, 0.3), beryljob.Job{
			Account: "weavers", Class: "draft", Tasks: 1, Shape: half,
		})
	}
	for range 16 {
		b.add(b.between(start, start.Add(span)), b.lognormal(45*time.Minute, 0.3), beryljob.Job{
			Account: "apprentices", Class: "patient", Tasks: 2 + 2*b.rnd.IntN(2), Shape: half, Adjacent: beryladjacency.Domain,
		})
	}
	b.routine("agency", 260, 25*time.Minute, span)
	b.exports("agency", 40, span)
	b.small("cooperatives", "sorting", 80, 60*time.Second, span)
	b.small("cooperatives", "urgent", 24, 30*time.Second, span)
	b.faults(start, "velike-lasce", "sodrazica-0001")
	return b.done()
}

// Target is a day at the size of the two-year target, or a part of it: workers
// over 3 regions with 7 failure domains, 6,300 jobs a day for 11,000 workers
// with gangs to 512, and 150 client accounts.
func Target(seed uint64, workers int) *Workload {
	const span = 24 * time.Hour
	start := siteTime("UTC", 0)
	b := newBuilder("target", seed, start, span)
	total := berylshape.Shape{Accelerators: 8, Cores: 128, Memory: 256 * berylsize.GB}
	domains := []string{"r1-a", "r1-b", "r1-c", "r2-a", "r2-b", "r3-a", "r3-b"}
	for i, d := range domains {
		n := workers / len(domains)
		if i < workers%len(domains) {
			n++
		}
		b.addWorkers(d, n, 16, total)
	}
	b.targetClasses()
	jobs := max(6300*workers/11000, 10)
	for i := range jobs {
		b.targetJob(start, span, fmt.Sprintf("team-%03d", i%150))
	}
	b.w.Faults = append(b.w.Faults,
		DomainOut{At: start.Add(8 * time.Hour), Domain: "r2-b", Grace: 10 * time.Minute},
		DomainBack{At: start.Add(10 * time.Hour), Domain: "r2-b"},
	)
	return b.done()
}

func (b *builder) targetClasses() {
	b.w.Config.Classes["batch"] = berylconfig.Class{Idempotent: true, Checkpoint: true, Stop: seconds(30)}
	b.w.Config.Classes["patient"] = berylconfig.Class{
		Target: berylconfig.Target{Within: seconds(18 * 3600)}, Idempotent: true, Checkpoint: true, Stop: seconds(30),
	}
	b.w.Config.Classes["urgent"] = berylconfig.Class{
		Target: berylconfig.Target{Start: berylduration.Duration(1600 * time.Millisecond)}, Idempotent: true,
	}
	for i := range 150 {
		account := berylconfig.ClientAccount{}
		if i < 50 {
			account.Guarantees = []berylconfig.Guarantee{{
				Shape: berylshape.Shape{Accelerators: 8, Cores: 64, Memory: 128 * berylsize.GB}, Count: 4,
			}}
		}
		b.w.Config.Accounts[fmt.Sprintf("team-%03d", i)] = account
	}
}

// targetJob adds one job. Two thirds of the jobs need no accelerators; with these
// sizes and run times about 200,000 tasks run at once after half a day.
func (b *builder) targetJob(start time.Time, span time.Duration, account string) {
	class, tasks, run := "batch", 1+b.rnd.IntN(232), b.lognormal(8*time.Hour, 0.5)
	shape := berylshape.Shape{Cores: 4, Memory: 8 * berylsize.GB}
	if b.rnd.IntN(3) == 0 {
		tasks, run = 1+b.rnd.IntN(48), b.lognormal(6*time.Hour, 0.5)
		shape = berylshape.Shape{Accelerators: 1, Cores: 8, Memory: 16 * berylsize.GB}
	}
	switch p := b.rnd.IntN(100); {
	case p < 3:
		tasks = 128 + b.rnd.IntN(385)
	case p < 20:
		class = "patient"
	case p < 25:
		class, tasks, run = "urgent", 1+b.rnd.IntN(4), b.lognormal(5*time.Minute, 0.5)
	}
	b.add(b.between(start, start.Add(span)), run, beryljob.Job{
		Account: account, Class: class, Tasks: tasks, Shape: shape, Adjacent: beryladjacency.Anywhere,
	})
}

// routine adds background jobs, half of them in bursts, some with a wave of
// cancellations, a few that fail on every worker or can never fit.
func (b *builder) routine(account string, n int, median, span time.Duration) {
	start := b.w.Start
	burst := b.between(start, start.Add(span*3/4))
	for i := range n {
		at := b.between(start, start.Add(span))
		if i%2 == 0 {
			at = burst.Add(time.Duration(b.rnd.Int64N(int64(2 * time.Minute))))
		}
		accelerators := 1 << b.rnd.IntN(3)
		a := b.add(at, b.lognormal(median, 0.8), beryljob.Job{
			Account: account, Class: "routine", Tasks: 1 + b.rnd.IntN(2),
			Shape: berylshape.Shape{
				Accelerators: accelerators, Cores: 4 * accelerators,
				Memory: berylsize.Size(8*accelerators) * berylsize.GB,
			},
		})
		switch b.rnd.IntN(50) {
		case 0:
			a.AlwaysFails = true
		case 1:
			a.Job.Shape.Accelerators = 64
		case 2, 3, 4:
			a.Cancel = 10 * time.Minute
		}
	}
}

// exports adds jobs that can be neither checkpointed nor preempted without loss,
// so they must never hold capacity that is guaranteed to others.
func (b *builder) exports(account string, n int, span time.Duration) {
	b.w.Config.Classes["export"] = berylconfig.Class{Idempotent: true}
	for range n {
		accelerators := 2 << b.rnd.IntN(3)
		b.add(b.between(b.w.Start, b.w.Start.Add(span*3/4)), b.lognormal(40*time.Minute, 0.5), beryljob.Job{
			Account: account, Class: "export", Tasks: 1,
			Shape: berylshape.Shape{
				Accelerators: accelerators, Cores: 4 * accelerators,
				Memory: berylsize.Size(8*accelerators) * berylsize.GB,
			},
		})
	}
}

// small adds short jobs of one accelerator or none.
func (b *builder) small(account, class string, n int, median, span time.Duration) {
	for range n {
		b.add(b.between(b.w.Start, b.w.Start.Add(span)), b.lognormal(median, 0.4), beryljob.Job{
			Account: account, Class: class, Tasks: 1,
			Shape: berylshape.Shape{Accelerators: b.rnd.IntN(2), Cores: 2, Memory: 4 * berylsize.GB},
		})
	}
}

// faults adds a departure of two hours, a failing worker and a short loss of a
// worker.
func (b *builder) faults(start time.Time, domain, failing string) {
	out := start.Add(3 * time.Hour).Add(time.Duration(b.rnd.IntN(60)) * time.Minute)
	b.w.Faults = append(b.w.Faults,
		DomainOut{At: out, Domain: domain, Grace: 2 * time.Minute},
		DomainBack{At: out.Add(2 * time.Hour), Domain: domain},
		WorkerFails{At: start.Add(time.Hour), Until: start.Add(2 * time.Hour), Worker: failing},
		WorkersLost{
			At: start.Add(7 * time.Hour), Until: start.Add(7*time.Hour + 20*time.Minute),
			Workers: []string{b.w.Workers[b.rnd.IntN(3)].Name},
		},
	)
}

func seconds(n int) berylduration.Duration {
	return berylduration.Duration(time.Duration(n) * time.Second)
}

// siteTime returns an hour of a fixed day in a time zone.
func siteTime(zone string, hour int) time.Time {
	loc, err := time.LoadLocation(zone)
	if err != nil {
		loc = time.UTC
	}
	return time.Date(2026, time.May, 4, hour, 0, 0, 0, loc)
}
