package berylstore

import (
	"context"
	"time"

	"github.com/go-faster/errors"
)

// ReadNewest reads the newest record of every key of a topic, page by page, each within
// timeout. End is the end of the topic at the first page: the pages are no snapshot, so
// records that were appended from there on may be missing. An error means that the records
// of some pages are missing.
func ReadNewest(ctx context.Context, s Store, topic string, timeout time.Duration) (records []Record, end int64, err error) {
	after := ""
	for first := true; ; first = false {
		page, err := readPage(ctx, s, topic, after, timeout)
		if err != nil {
			return nil, 0, err
		}
		if first {
			end = page.End
		}
		records = append(records, page.Records...)
		if !page.More {
			return records, end, nil
		}
		if len(page.Records) == 0 {
			return nil, 0, errors.Errorf("page of topic %s after key %q is empty, but others follow", topic, after)
		}
		after = page.Records[len(page.Records)-1].Key
	}
}

func readPage(ctx context.Context, s Store, topic, after string, timeout time.Duration) (Page, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return s.Newest(ctx, topic, after)
}
