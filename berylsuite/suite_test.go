package berylsuite

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"berylglade/berylbaseline"
	"berylglade/berylmeasure"
	"berylglade/berylworkload"
)

func newSuite() *Suite {
	firstFit := NamedPolicy{Name: "firstfit", New: func() berylmeasure.Policy { return berylbaseline.New() }}
	easy := NamedPolicy{Name: "easy", New: func() berylmeasure.Policy { return berylbaseline.NewEasy() }}
	return &Suite{
		Workloads: map[string]func(uint64) *berylworkload.Workload{
			"target": func(seed uint64) *berylworkload.Workload { return berylworkload.Target(seed, 14) },
		},
		Seeds: []uint64{1, 2}, Policies: []NamedPolicy{firstFit, easy}, Reference: &firstFit, Workers: 4,
		Clock: func() time.Time { return time.Time{} },
	}
}

// Guards against results that depend on the order in which the runs end.
func TestSuiteIsRepeatable(t *testing.T) {
	is := is.New(t)
	var tables [2]strings.Builder
	for i := range tables {
		rows := Summarize(newSuite().Run())
		is.Equal(len(rows), 6) // three classes with two policies
		is.NoErr(WriteTable(&tables[i], rows))
	}
	is.Equal(tables[0].String(), tables[1].String())
}

// Guards against reports that can't be written, and a CSV file with missing rows.
func TestReports(t *testing.T) {
	is := is.New(t)
	suite := newSuite()
	suite.Seeds = suite.Seeds[:1]
	results := suite.Run()
	rows := Summarize(results)
	var csv strings.Builder
	is.NoErr(WriteCSV(&csv, rows))
	is.Equal(strings.Count(csv.String(), "\n"), 1+len(rows))
	is.NoErr(WritePlots(t.TempDir(), results, rows))
}
