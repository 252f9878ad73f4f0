package berylapi

import (
	"encoding/json"
	"net/http"

	"berylglade/beryladjacency"
	"berylglade/berylcall"
	"berylglade/berylerror"
	"berylglade/beryljob"
)

func (a *API) submit(w http.ResponseWriter, r *http.Request, account string) {
	job, err := a.readJob(w, r, account)
	if err != nil {
		writeError(w, "", err)
		return
	}
	state, err := a.entry.Submit(r.Context(), job)
	if err != nil {
		writeError(w, state.ID, err)
		return
	}
	writeJSON(w, http.StatusOK, state)
}

func (a *API) readJob(w http.ResponseWriter, r *http.Request, account string) (beryljob.Job, error) {
	if _, err := readQuery(r); err != nil {
		return beryljob.Job{}, err
	}
	key, err := readKey(r)
	if err != nil {
		return beryljob.Job{}, err
	}
	body, err := readBody(w, r, _defaultMaxBody)
	if err != nil {
		return beryljob.Job{}, err
	}
	var submission Submission
	if err := decode(body, &submission); err != nil {
		return beryljob.Job{}, err
	}
	if _, ok := a.entry.Config().Classes[submission.Class]; !ok {
		return beryljob.Job{}, berylerror.Missing.Errorf("class %q is not in the configuration", submission.Class)
	}
	var adjacent beryladjacency.Adjacency
	if submission.Adjacent != "" {
		if err := adjacent.UnmarshalText([]byte(submission.Adjacent)); err != nil {
			return beryljob.Job{}, err
		}
	}
	// The checksum covers the decoded request, so a repeated submission may
	// differ in white space.
	canonical, err := json.Marshal(submission)
	if err != nil {
		return beryljob.Job{}, berylerror.Internal.Wrap(err, "encode submission")
	}
	job := beryljob.Job{
		Account:  account,
		Class:    submission.Class,
		Tasks:    submission.Tasks,
		Shape:    submission.Shape,
		Adjacent: adjacent,
		Declared: submission.Declared,
		Key:      key,
		Sum:      berylcall.Sum(account, submission.Class, canonical),
		Payload:  submission.Payload,
	}
	return job, job.Check()
}

func (a *API) job(w http.ResponseWriter, r *http.Request, account string) {
	state, err := a.entry.Job(r.Context(), account, r.PathValue("id"))
	if err != nil {
		writeError(w, "", err)
		return
	}
	writeJSON(w, http.StatusOK, state)
}

func (a *API) jobs(w http.ResponseWriter, r *http.Request, account string) {
	if _, err := readQuery(r); err != nil {
		writeError(w, "", err)
		return
	}
	states, err := a.entry.Jobs(r.Context(), account)
	if err != nil {
		writeError(w, "", err)
		return
	}
	if states == nil {
		states = []beryljob.State{}
	}
	writeJSON(w, http.StatusOK, states)
}

func (a *API) cancel(w http.ResponseWriter, r *http.Request, account string) {
	id := r.PathValue("id")
	state, err := a.entry.Cancel(r.Context(), account, id)
	if err != nil {
		writeError(w, id, err)
		return
	}
	writeJSON(w, http.StatusOK, state)
}
