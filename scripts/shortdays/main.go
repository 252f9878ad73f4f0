// Command shortdays sums up, by site, the days of journal entries that broke a rule or
// missed a floor. Its arguments are the files of the entries.
package main

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"

	"github.com/go-faster/errors"
)

// entry is the part of a journal entry that is used.
type entry struct {
	ID   string `json:"id"`
	Site string `json:"site"`
	Cmd  string `json:"cmd"`
	Days []day  `json:"days"`
}

// day is one day that was played.
type day struct {
	Name string `json:"name"`
	// Rules has the number of breaches of each broken rule.
	Rules map[string]int `json:"rules"`
	// Short has a line for each floor that was missed.
	Short []string `json:"short"`
}

// sum counts the days of one site.
type sum struct {
	days, broken, short int
	findings            []string
}

func main() {
	if err := run(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "shortdays:", err)
		os.Exit(1)
	}
}

func run(files []string) error {
	sums := map[string]*sum{}
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			return err
		}
		var e entry
		if err := json.Unmarshal(data, &e); err != nil {
			return errors.Wrap(err, file)
		}
		if sums[e.Site] == nil {
			sums[e.Site] = &sum{}
		}
		sums[e.Site].add(e)
	}
	for _, site := range slices.SortedFunc(maps.Keys(sums), cmp.Compare) {
		s := sums[site]
		fmt.Printf("%s: %d days, %d with a broken rule, %d short of a floor\n", site, s.days, s.broken, s.short)
		for _, f := range s.findings {
			fmt.Println("  " + f)
		}
	}
	return nil
}

func (s *sum) add(e entry) {
	for _, d := range e.Days {
		s.days++
		for rule, n := range d.Rules {
			s.findings = append(s.findings, fmt.Sprintf("%s %s %s: %s %d", e.ID, e.Cmd, d.Name, rule, n))
		}
		if len(d.Rules) > 0 {
			s.broken++
		}
		if len(d.Short) > 0 {
			s.short++
			s.findings = append(s.findings, fmt.Sprintf("%s %s %s: %s", e.ID, e.Cmd, d.Name, strings.Join(d.Short, "; ")))
		}
	}
}
