package berylapi

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"berylglade/berylanswer"
	"berylglade/berylcall"
	"berylglade/berylconfig"
	"berylglade/berylerror"
	"berylglade/beryllistener"
)

func (a *API) call(w http.ResponseWriter, r *http.Request, account string) {
	call, err := a.readCall(w, r, account)
	if err != nil {
		writeError(w, "", err)
		return
	}
	answer, err := a.entry.Call(r.Context(), call)
	writeAnswer(w, answer, err)
}

func (a *API) readCall(w http.ResponseWriter, r *http.Request, account string) (berylcall.Call, error) {
	query, err := readQuery(r, "class")
	if err != nil {
		return berylcall.Call{}, err
	}
	name := query.Get("class")
	class, ok := a.entry.Config().Classes[name]
	if !ok {
		return berylcall.Call{}, berylerror.Missing.Errorf("class %q is not in the configuration", name)
	}
	key, err := readKey(r)
	if err != nil {
		return berylcall.Call{}, err
	}
	budget, err := readTimeout(r, class)
	if err != nil {
		return berylcall.Call{}, err
	}
	limit := int64(_defaultMaxBody)
	if class.Body > 0 {
		limit = int64(class.Body)
	}
	body, err := readBody(w, r, limit)
	if err != nil {
		return berylcall.Call{}, err
	}
	return berylcall.Call{
		Account:    account,
		Class:      name,
		Key:        key,
		Idempotent: class.Idempotent,
		Budget:     budget,
		Body:       body,
	}, nil
}

func (a *API) find(w http.ResponseWriter, r *http.Request, account string) {
	wait, err := readWait(r)
	if err != nil {
		writeError(w, "", err)
		return
	}
	answer, err := a.entry.Find(r.Context(), account, r.PathValue("id"), wait)
	writeAnswer(w, answer, err)
}

func (a *API) findKey(w http.ResponseWriter, r *http.Request, account string) {
	wait, err := readWait(r)
	if err != nil {
		writeError(w, "", err)
		return
	}
	key := r.PathValue("key")
	if err := checkKey(key); err != nil {
		writeError(w, "", err)
		return
	}
	answer, err := a.entry.FindKey(r.Context(), account, key, wait)
	writeAnswer(w, answer, err)
}

// writeAnswer sends the body of the backend server's reply. A reply without a
// 2xx status, which includes a redirect, is sent as an error of kind failed that
// contains the status and body. Otherwise the caller could mistake its status
// for one of the entry.
func writeAnswer(w http.ResponseWriter, answer berylanswer.Answer, err error) {
	if answer.ID != "" {
		w.Header().Set(HeaderCall, answer.ID)
	}
	switch {
	case err != nil:
		writeError(w, answer.ID, err)
	case answer.Status < http.StatusOK || answer.Status >= http.StatusMultipleChoices:
		writeJSON(w, berylerror.Failed.Status(), Error{
			Kind:   berylerror.Failed.String(),
			Text:   "backend server answered with status " + strconv.Itoa(answer.Status),
			ID:     answer.ID,
			Status: answer.Status,
			Body:   answer.Body,
		})
	default:
		writeBody(w, http.StatusOK, "application/octet-stream", answer.Body)
	}
}

// readQuery returns the query parameters and rejects unknown or repeated ones.
func readQuery(r *http.Request, allowed ...string) (url.Values, error) {
	query, err := url.ParseQuery(r.URL.RawQuery)
	if err != nil {
		return nil, berylerror.Invalid.Wrap(err, "query")
	}
	for name, values := range query {
		if !slices.Contains(allowed, name) {
			return nil, berylerror.Invalid.Errorf("unknown query parameter %q", name)
		}
		if len(values) > 1 {
			return nil, berylerror.Invalid.Errorf("query parameter %q is repeated", name)
		}
	}
	return query, nil
}

func readKey(r *http.Request) (string, error) {
	values := r.Header.Values(HeaderKey)
	if len(values) == 0 {
		return "", nil
	}
	if len(values) > 1 {
		return "", berylerror.Invalid.Errorf("header %s is repeated", HeaderKey)
	}
	return values[0], checkKey(values[0])
}

// checkKey rejects an idempotency key that is empty, too long or not printable
// ASCII.
func checkKey(key string) error {
	if key == "" || len(key) > _maxKeyLength {
		return berylerror.Invalid.Errorf("idempotency key is %d bytes long, not 1 to %d", len(key), _maxKeyLength)
	}
	for _, c := range []byte(key) {
		if c <= ' ' || c > '~' {
			return berylerror.Invalid.Errorf("idempotency key contains a character other than printable ASCII without spaces")
		}
	}
	return nil
}

// readTimeout returns the timeout that the caller asks for, limited to that of
// the class.
func readTimeout(r *http.Request, class berylconfig.Class) (time.Duration, error) {
	limit := _defaultTimeout
	if class.Timeout > 0 {
		limit = class.Timeout.Std()
	}
	values := r.Header.Values(HeaderTimeout)
	if len(values) == 0 {
		return limit, nil
	}
	d, err := time.ParseDuration(values[0])
	if err != nil || d <= 0 || len(values) > 1 {
		return 0, berylerror.Invalid.Errorf("header %s %q is not a single positive duration such as 1.5s", HeaderTimeout, values)
	}
	return min(d, limit), nil
}

func readWait(r *http.Request) (time.Duration, error) {
	query, err := readQuery(r, "wait")
	if err != nil {
		return 0, err
	}
	if !query.Has("wait") {
		return 0, nil
	}
	d, err := time.ParseDuration(query.Get("wait"))
	if err != nil || d < 0 {
		return 0, berylerror.Invalid.Errorf("query parameter wait %q is not a non-negative duration such as 10s", query.Get("wait"))
	}
	return min(d, _maxWait), nil
}

// readBody returns the whole body. A truncated body is an error.
func readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	if r.ContentLength > limit {
		return nil, berylerror.Oversize.Errorf("body of %d bytes exceeds the limit of %d bytes", r.ContentLength, limit)
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, berylerror.Oversize.Errorf("body exceeds the limit of %d bytes", limit)
	case errors.Is(err, beryllistener.ErrNoRoom):
		// The rest of the body is not read.
		w.Header().Set("Connection", "close")
		return nil, err
	case err != nil:
		return nil, berylerror.Invalid.Wrap(err, "read body")
	default:
		return body, nil
	}
}

// readJSON decodes exactly one JSON value without unknown fields.
func readJSON(w http.ResponseWriter, r *http.Request, v any) error {
	body, err := readBody(w, r, _defaultMaxBody)
	if err != nil {
		return err
	}
	return decode(body, v)
}

func decode(body []byte, v any) error {
	dec := json.NewDecoder(bytes.NewReader(body))
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		return berylerror.Invalid.Wrap(err, "decode body")
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return berylerror.Invalid.Errorf("data after the JSON value in the body")
	}
	return nil
}
