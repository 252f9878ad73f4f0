// Command reviewstand plays one case of the review against the project's own programs:
// a small deployment of processes on loopback addresses, with stand-ins of the store, the
// runners, the operator and the clients.
//
// It exits with 0 if the rule held, 1 if it was broken, and 2 if the case could not run.
package main

import (
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// play plays one case. It returns true if the rule held.
type play func(c *cluster, trouble bool) (bool, error)

// scenario is a case with its deployment.
type scenario struct {
	config          string
	entries, agents int
	play            play
}

func scenarios() map[string]scenario {
	return map[string]scenario{
		"guarantee": {config: _guaranteeConfig, entries: 3, agents: 3, play: playGuarantee},
		"route":     {config: fmt.Sprintf(_routeConfig, 1, _routeX), entries: 3, agents: 3, play: playRoute},
		"sameid":    {config: _tenantsConfig, entries: 3, agents: 3, play: playSameID},
		"reborn":    {config: _tenantsConfig, entries: 3, agents: 3, play: playReborn},
		"waiting":   {config: _tenantsConfig, entries: 3, agents: 7, play: playWaiting},
		"public":    {config: _tenantsConfig, entries: 3, agents: 3, play: playPublic},
	}
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: reviewstand CASE FOLDER")
		os.Exit(2)
	}
	held, err := runCase(os.Args[1], os.Args[2], os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		os.Exit(2)
	case !held:
		os.Exit(1)
	}
}

func runCase(name, folder string, trouble bool) (bool, error) {
	s, ok := scenarios()[name]
	if !ok {
		return false, fmt.Errorf("no case %q", name)
	}
	out, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return false, err
	}
	defer func() { _ = out.Close() }()
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return false, err
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(dir) }()
	} else {
		fmt.Println("logs:", dir)
	}
	rec := &recorder{out: io.MultiWriter(out, os.Stdout), from: time.Now(), specs: map[string]taskSpec{}}
	rec.line("case %s, trouble %v", name, trouble)
	c, err := newCluster(rec, dir, s.config, s.entries, s.agents)
	if c != nil {
		defer c.close()
	}
	if err != nil {
		return false, err
	}
	endOnSignal(c)
	if err := c.ready(20 * time.Second); err != nil {
		return false, err
	}
	if err := warmUp(c); err != nil {
		return false, err
	}
	held, err := s.play(c, trouble)
	if err == nil {
		rec.line("result: rule held: %v", held)
	}
	return held, err
}

// endOnSignal ends all processes if this one is to stop, or has taken too long.
func endOnSignal(c *cluster) {
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		select {
		case <-stop:
		case <-time.After(_longest):
		}
		c.close()
		os.Exit(2)
	}()
}

// _longest is below the 120 s that a case may take.
const _longest = 110 * time.Second

// warmUp runs a job with one task for each runner, so that all parts are known to work.
func warmUp(c *cluster) error {
	const id = "00000000000000aa"
	c.rec.know(id, 0, taskSpec{gpu: _gpus, work: 200 * time.Millisecond})
	body := fmt.Sprintf(`{"spec":"warm","steps":[{"count":%d,"cpu":1000,"memMb":100,"gpu":%d,"estimateMs":200}]}`, len(c.runners), _gpus)
	if !c.submit("warm-up", "key-a", "/jobs/"+id, body) {
		return fmt.Errorf("the warm-up job was not accepted")
	}
	done := func() bool {
		return c.send(0, "warm-up", "key-a", "GET", "/jobs/"+id, "").body == `{"state":"completed"}`
	}
	for range 40 {
		if done() {
			return nil
		}
		time.Sleep(250 * time.Millisecond)
	}
	return fmt.Errorf("the warm-up job was not completed")
}

// observeFor waits for a time during which nothing is sent.
func observeFor(c *cluster, d time.Duration) {
	c.rec.line("observing for %v", d)
	time.Sleep(d)
}
