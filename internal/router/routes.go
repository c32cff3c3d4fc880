package router

import (
	"net/http"

	"papayaspan.dev/papayaspan/internal/account"
	"papayaspan.dev/papayaspan/internal/claim"
	"papayaspan.dev/papayaspan/internal/config"
	"papayaspan.dev/papayaspan/internal/dispatch"
	"papayaspan.dev/papayaspan/internal/verdict"
)

// HeaderIdempotencyKey names a call that must not be repeated.
const HeaderIdempotencyKey = "Idempotency-Key"

// serveRoute leads a call to a plain service.
func (r *Router) serveRoute(w http.ResponseWriter, req *http.Request) {
	id := requestID(req)
	r.stats.requests.Mark(1)
	view := r.View()
	route, ok := view.Route(req.URL.Path)
	if !ok {
		r.refuse(w, id, verdict.Refuse(http.StatusNotFound, "route_unknown", "no route leads to this path"))
		return
	}
	who, refusal := r.routeCaller(view, route, req)
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
	if refusal := checkNoKey(req, body); refusal != nil {
		r.refuse(w, id, refusal)
		return
	}
	c := routeCall{id: id, view: view, route: route, caller: who, body: body, grant: openGrant{}}
	if who != nil && !r.admitRoute(w, req, &c) {
		return
	}
	r.dispatchRoute(w, req, c)
}

// routeCall is one call of a plain service on its way through the router.
type routeCall struct {
	id     string
	view   *config.View
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

// claimKey names the call among those with idempotency keys.
func (c routeCall) claimKey() claim.Key { return claim.Key{Account: c.account(), Route: c.route.ID} }

// routeCaller returns nil for an open route.
func (r *Router) routeCaller(view *config.View, route config.Route, req *http.Request) (*caller, *verdict.Error) {
	if route.Open {
		return nil, nil
	}
	who, refusal := r.authenticate(view, req)
	if refusal != nil {
		return nil, refusal
	}
	return &who, nil
}

// admitRoute admits a call, or answers the caller and returns false.
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
	if refusal := r.recheck(*c.caller); refusal != nil {
		grant.Done(0)
		r.refuse(w, c.id, refusal)
		return false
	}
	c.grant = grant
	return true
}

// openGrant is the grant of a call on an open route, which has no account.
type openGrant struct{}

func (openGrant) Done(float64) {}

func (r *Router) dispatchRoute(w http.ResponseWriter, req *http.Request, c routeCall) {
	held, ok := r.claimRequest(w, req, c.claimKey(), c.body, c.route.Idempotent)
	if !ok {
		c.grant.Done(0)
		return
	}
	sink := dispatch.NewHTTPSink(w, r.opts.Settings.Limits.WriteTimeout.Std())
	ctx, cancel := held.context(req.Context(), r.opts.Settings.Limits.RequestTimeout.Std())
	defer cancel()
	// The path was checked before admission.
	path, _ := dispatch.SanitizePath(req.URL, bearer(req))
	picker := r.withGuards(r.opts.Balancer.Service(c.view, c.route), c.account(), req.Method+" "+path, c.body)
	out, err := r.opts.Dispatcher.Do(ctx, dispatch.Request{
		ID:         c.id,
		Account:    c.account(),
		Method:     req.Method,
		Path:       path,
		Header:     dispatch.SanitizeRequest(req.Header, bearer(req)),
		Body:       c.body,
		Idempotent: c.route.Idempotent,
	}, held.guard(picker), held.sink(sink))
	held.end(out.Verdict, err)
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
