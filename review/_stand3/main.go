// Command stand3 plays one case of the review: it starts the project's processes and
// stand-ins of the platform on loopback addresses, and checks one rule.
package main

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
)

// Exit codes: the rule held, the rule was broken, the case couldn't run.
const (
	_held = iota
	_broken
	_cannotRun
)

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: stand3 CASE FOLDER")
		return _cannotRun
	}
	play, ok := cases()[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case", os.Args[1])
		return _cannotRun
	}
	out, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return _cannotRun
	}
	defer func() { _ = out.Close() }()
	dir, err := os.MkdirTemp("", "review3-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return _cannotRun
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(dir) }()
	}
	buffered := bufio.NewWriterSize(out, 1<<20)
	defer func() { _ = buffered.Flush() }()
	rec := newRecorder(buffered)
	f, err := newFleet(dir, rec)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return _cannotRun
	}
	defer f.close()
	code, why := play(f, os.Getenv("TROUBLE") != "0")
	rec.add("result %d: %s", code, why)
	fmt.Printf("%d: %s\n", code, why)
	return code
}

type scenario func(f *fleet, trouble bool) (int, string)

func cases() map[string]scenario {
	return map[string]scenario{"ended-jobs": endedJobs, "short-tasks": shortTasks, "reserved-room": reservedRoom}
}
