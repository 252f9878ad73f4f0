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

// Quabbin returns one night at site Quabbin: 12 hours from 18:00. Bloom mapping
// jobs arrive in the evening and have to be done by 05:30, and half of the routine
// jobs arrive in bursts. One failure domain is out for two hours, and for one hour
// every task on one worker fails.
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
		b.addJob(b.uniformTime(start, start.Add(4*time.Hour)), b.lognormal(100*time.Minute, 0.3), beryljob.Job{
			Account: "mapping", Class: "bloom", Tasks: tasks, Shape: whole, Adjacent: beryladjacency.Rack,
		})
	}
	b.addRoutineJobs("research", 260, 25*time.Minute, span)
	b.addExportJobs("research", 40, span)
	b.addRoutineJobs("growers", 120, 15*time.Minute, span)
	b.addSmallJobs("rota", "assign", 80, 40*time.Second, span)
	b.addSmallJobs("rota", "urgent", 24, 30*time.Second, span)
	b.addFaults(start, "petersham", "belch-north-0001")
	return b.finish()
}

// Ribnica returns one working day at site Ribnica: 10 hours from 07:00. Drafts have
// to be done within 20 minutes and patient jobs within 4 hours, while routine jobs
// run in the background. One failure domain is out for two hours.
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
		b.addJob(b.uniformTime(start, start.Add(span)), b.lognormal(5*time.Minute, 0.3), beryljob.Job{
			Account: "weavers", Class: "draft", Tasks: 1, Shape: half,
		})
	}
	for range 16 {
		b.addJob(b.uniformTime(start, start.Add(span)), b.lognormal(45*time.Minute, 0.3), beryljob.Job{
			Account: "apprentices", Class: "patient", Tasks: 2 + 2*b.rnd.IntN(2), Shape: half, Adjacent: beryladjacency.Domain,
		})
	}
	b.addRoutineJobs("agency", 260, 25*time.Minute, span)
	b.addExportJobs("agency", 40, span)
	b.addSmallJobs("cooperatives", "sorting", 80, 60*time.Second, span)
	b.addSmallJobs("cooperatives", "urgent", 24, 30*time.Second, span)
	b.addFaults(start, "velike-lasce", "sodrazica-0001")
	return b.finish()
}

// Target returns a day at the target scale for two years from now, or at a part of
// it: workers in 3 regions with 7 failure domains, 6,300 jobs a day for 11,000
// workers, gangs of up to 512 tasks, and 150 client accounts.
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
	b.addTargetClasses()
	jobs := max(6300*workers/11000, 10)
	for i := range jobs {
		b.addTargetJob(start, span, fmt.Sprintf("team-%03d", i%150))
	}
	b.w.Faults = append(b.w.Faults,
		DomainOut{At: start.Add(8 * time.Hour), Domain: "r2-b", Grace: 10 * time.Minute},
		DomainBack{At: start.Add(10 * time.Hour), Domain: "r2-b"},
	)
	return b.finish()
}

func (b *builder) addTargetClasses() {
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

// addTargetJob adds one job. Two thirds of the jobs need no accelerators. With these
// sizes and run times about 200,000 tasks run at the same time after half a day.
func (b *builder) addTargetJob(start time.Time, span time.Duration, account string) {
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
	b.addJob(b.uniformTime(start, start.Add(span)), run, beryljob.Job{
		Account: account, Class: class, Tasks: tasks, Shape: shape, Adjacent: beryladjacency.Anywhere,
	})
}

// addRoutineJobs adds background jobs, half of them in one burst. Some are cancelled
// 10 minutes after they arrive, and a few fail on every worker or never fit.
func (b *builder) addRoutineJobs(account string, n int, median, span time.Duration) {
	start := b.w.Start
	burst := b.uniformTime(start, start.Add(span*3/4))
	for i := range n {
		at := b.uniformTime(start, start.Add(span))
		if i%2 == 0 {
			at = burst.Add(time.Duration(b.rnd.Int64N(int64(2 * time.Minute))))
		}
		accelerators := 1 << b.rnd.IntN(3)
		a := b.addJob(at, b.lognormal(median, 0.8), beryljob.Job{
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

// addExportJobs adds jobs that can't save their progress. Preempting them loses their
// work, so they must never use capacity that is guaranteed to others.
func (b *builder) addExportJobs(account string, n int, span time.Duration) {
	b.w.Config.Classes["export"] = berylconfig.Class{Idempotent: true}
	for range n {
		accelerators := 2 << b.rnd.IntN(3)
		b.addJob(b.uniformTime(b.w.Start, b.w.Start.Add(span*3/4)), b.lognormal(40*time.Minute, 0.5), beryljob.Job{
			Account: account, Class: "export", Tasks: 1,
			Shape: berylshape.Shape{
				Accelerators: accelerators, Cores: 4 * accelerators,
				Memory: berylsize.Size(8*accelerators) * berylsize.GB,
			},
		})
	}
}

// addSmallJobs adds short jobs with one accelerator or none.
func (b *builder) addSmallJobs(account, class string, n int, median, span time.Duration) {
	for range n {
		b.addJob(b.uniformTime(b.w.Start, b.w.Start.Add(span)), b.lognormal(median, 0.4), beryljob.Job{
			Account: account, Class: class, Tasks: 1,
			Shape: berylshape.Shape{Accelerators: b.rnd.IntN(2), Cores: 2, Memory: 4 * berylsize.GB},
		})
	}
}

// addFaults adds an outage of a failure domain for two hours, a failing worker and a
// short loss of a worker.
func (b *builder) addFaults(start time.Time, domain, failing string) {
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

// siteTime returns the given hour of a fixed day in a time zone.
func siteTime(zone string, hour int) time.Time {
	loc, err := time.LoadLocation(zone)
	if err != nil {
		loc = time.UTC
	}
	return time.Date(2026, time.May, 4, hour, 0, 0, 0, loc)
}
