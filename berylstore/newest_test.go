package berylstore

import (
	"context"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
)

// pages is a fake store that returns the pages in order, and then an error.
type pages struct {
	Store
	list []Page
}

func (p *pages) Newest(context.Context, string, string) (Page, error) {
	if len(p.list) == 0 {
		return Page{}, errors.New("no answer")
	}
	page := p.list[0]
	p.list = p.list[1:]
	return page, nil
}

// Guards against the pages that were read before a failure, or before an empty page that is
// not the last one, which are taken for the whole topic: accepted jobs would be unknown.
func TestIncompletePagesAreNoTopic(t *testing.T) {
	a, b := []Record{{Key: "a"}}, []Record{{Key: "b"}}
	tests := []struct {
		name string
		give []Page
		want int
		fail bool
	}{
		{name: "empty topic", give: []Page{{End: 4}}},
		{name: "two pages", give: []Page{{Records: a, More: true, End: 4}, {Records: b, End: 6}}, want: 2},
		{name: "second page fails", give: []Page{{Records: a, More: true, End: 4}}, fail: true},
		{name: "empty page that is not the last", give: []Page{{Records: a, More: true, End: 4}, {More: true, End: 6}, {Records: b, End: 6}}, fail: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			records, end, err := ReadNewest(t.Context(), &pages{list: tt.give}, "t", time.Second)
			is.Equal(err != nil, tt.fail)
			is.Equal(len(records), tt.want)
			is.True(tt.fail || end == 4)
		})
	}
}
