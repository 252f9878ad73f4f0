package berylapi

import (
	"net/http"

	"berylglade/berylconfig"
	"berylglade/berylerror"
)

func (a *API) config(w http.ResponseWriter, _ *http.Request, _ string) {
	writeJSON(w, http.StatusOK, a.entry.Config())
}

func (a *API) publish(w http.ResponseWriter, r *http.Request, _ string) {
	var change Change
	if err := readJSON(w, r, &change); err != nil {
		writeError(w, "", err)
		return
	}
	if err := change.check(); err != nil {
		writeError(w, "", err)
		return
	}
	offset, err := a.entry.Publish(r.Context(), change)
	writePublished(w, offset, err)
}

func (c *Change) check() error {
	switch {
	case c.Base == nil || *c.Base < 0:
		return berylerror.Invalid.Errorf("base is missing or negative")
	case c.By == "":
		return berylerror.Invalid.Errorf("by is missing")
	case len(c.Set) == 0:
		return berylerror.Invalid.Errorf("set has no keys")
	default:
		return nil
	}
}

func (a *API) takeDomainOut(w http.ResponseWriter, r *http.Request, by string) {
	var req OutRequest
	if r.ContentLength != 0 {
		if err := readJSON(w, r, &req); err != nil {
			writeError(w, "", err)
			return
		}
	}
	offset, err := a.entry.SetDomain(r.Context(), by, r.PathValue("name"), berylconfig.FailureDomain{Out: true, Grace: req.Grace})
	writePublished(w, offset, err)
}

func (a *API) bringDomainBack(w http.ResponseWriter, r *http.Request, by string) {
	offset, err := a.entry.SetDomain(r.Context(), by, r.PathValue("name"), berylconfig.FailureDomain{})
	writePublished(w, offset, err)
}

func (a *API) drain(w http.ResponseWriter, r *http.Request, _ string) {
	if err := a.entry.Drain(r.Context(), r.PathValue("name")); err != nil {
		writeError(w, "", err)
		return
	}
	writeJSON(w, http.StatusOK, struct{}{})
}

func (a *API) agents(w http.ResponseWriter, r *http.Request, _ string) {
	agents, err := a.entry.Agents(r.Context())
	if err != nil {
		writeError(w, "", err)
		return
	}
	if agents == nil {
		agents = []Agent{}
	}
	writeJSON(w, http.StatusOK, agents)
}

func writePublished(w http.ResponseWriter, offset int64, err error) {
	if err != nil {
		writeError(w, "", err)
		return
	}
	writeJSON(w, http.StatusOK, PublishReply{Offset: offset})
}
