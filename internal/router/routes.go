package router

import (
	"net/http"

	"papayaspan.dev/papayaspan/internal/account"
	"papayaspan.dev/papayaspan/internal/claim"
	"papayaspan.dev/papayaspan/internal/config"
	"papayaspan.dev/papayaspan/internal/dispatch"
	"papayaspan.dev/papayaspan/internal/verdict"
)

// HeaderIdempotencyKey is the header that identifies a request which must run at
// most once.
const HeaderIdempotencyKey = "Idempotency-Key"

// serveRoute passes a call to the plain service of its route.
func (r *Router) serveRoute(w http.ResponseWriter, req *http.Request) {
	id := requestID(req)
	r.stats.requests.Mark(1)
	view := r.View()
	route, ok := view.Route(req.URL.Path)
	if !ok {
		r.refuse(w, id, verdict.Refuse(http.StatusNotFound, "route_unknown", "no route leads to this path"))
		return
	}
	identity, refusal := r.authenticateRoute(view, route, req)
	if refusal != nil {
		r.refuse(w, id, refusal)
		return
	}
	if route.RequireIdempotencyKey && req.Header.Get(HeaderIdempotencyKey) == "" {
		r.refuse(w, id, verdict.Refuse(http.StatusBadRequest, "idempotency_key_required", "this call needs an Idempotency-Key"))
		return
	}
	body, refusal := r.readBody(w, req)
	if refusal != nil {
		r.refuse(w, id, refusal)
		return
	}
	if refusal := checkKeyNotInRequest(req, body); refusal != nil {
		r.refuse(w, id, refusal)
		return
	}
	c := routeCall{id: id, route: route, caller: identity, body: body, grant: noopGrant{}}
	if identity != nil && !r.admitRoute(w, req, &c) {
		return
	}
	r.dispatchRoute(w, req, c)
}

// routeCall is the state of one call to a plain service.
type routeCall struct {
	id     string
	route  config.Route
	caller *caller
	body   []byte
	grant  Grant
}

func (c routeCall) account() account.ID {
	if c.caller == nil {
		return ""
	}
	return c.caller.account.ID
}

// claimKey returns the key under which the call is claimed, without the
// idempotency key.
func (c routeCall) claimKey() claim.Key { return claim.Key{Account: c.account(), Route: c.route.ID} }

// authenticateRoute authenticates the caller of a route. The caller is nil for an
// open route.
func (r *Router) authenticateRoute(view *config.View, route config.Route, req *http.Request) (*caller, *verdict.Error) {
	if route.Open {
		return nil, nil
	}
	identity, refusal := r.authenticate(view, req)
	if refusal != nil {
		return nil, refusal
	}
	return &identity, nil
}

// admitRoute admits a call and stores its grant in c. If the call is refused, it
// writes the response and returns false.
func (r *Router) admitRoute(w http.ResponseWriter, req *http.Request, c *routeCall) bool {
	class := c.route.Class
	if class == "" {
		class = config.Interactive
	}
	grant, err := r.opts.Admitter.Admit(req.Context(), Admission{
		RequestID: c.id,
		Account:   c.caller.account,
		Class:     class,
		Tokens:    c.route.CostTokens,
	})
	if err != nil {
		r.refuseAdmission(w, req, c.claimKey(), c.body, verdict.AsError(err))
		return false
	}
	if refusal := r.recheckKey(*c.caller); refusal != nil {
		grant.Done(0)
		r.refuse(w, c.id, refusal)
		return false
	}
	c.grant = grant
	return true
}

// noopGrant is the grant of a call on an open route, which has no account.
type noopGrant struct{}

func (noopGrant) Done(float64) {}

func (r *Router) dispatchRoute(w http.ResponseWriter, req *http.Request, c routeCall) {
	claimed, ok := r.claimRequest(w, req, c.claimKey(), c.body, c.route.Idempotent)
	if !ok {
		c.grant.Done(0)
		return
	}
	sink := dispatch.NewHTTPSink(w, r.opts.Settings.Limits.WriteTimeout.Std())
	ctx, cancel := claimed.dispatchContext(req.Context(), r.opts.Settings.Limits.RequestTimeout.Std())
	defer cancel()
	// The path was checked before admission.
	path, _ := dispatch.SanitizePath(req.URL, bearer(req))
	picker := r.withGuards(r.opts.Balancer.Service(r.View, c.route), c.account(), req.Method+" "+path, c.body)
	out, err := r.opts.Dispatcher.Do(ctx, dispatch.Request{
		ID:         c.id,
		Account:    c.account(),
		Method:     req.Method,
		Path:       path,
		Header:     dispatch.SanitizeRequest(req.Header, bearer(req)),
		Body:       c.body,
		Idempotent: c.route.Idempotent,
	}, claimed.checkedPicker(picker), claimed.recordingSink(sink))
	claimed.finish(out.Verdict, err)
	used := c.route.CostTokens
	if out.Verdict == verdict.NotRun {
		used = 0
	}
	c.grant.Done(used)
	r.finish(c.id, string(c.account()), c.route.ID, out, err)
	if err != nil {
		sink.Fail(verdict.AsError(err))
	}
}
