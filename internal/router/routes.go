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
	grant, refusal := r.admitRoute(req, id, route, who)
	if refusal != nil {
		r.refuse(w, id, refusal)
		return
	}
	r.dispatchRoute(w, req, routeCall{id: id, view: view, route: route, caller: who, body: body, grant: grant})
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

func (r *Router) admitRoute(req *http.Request, id string, route config.Route, who *caller) (Grant, *verdict.Error) {
	if who == nil {
		return openGrant{}, nil
	}
	class := route.Class
	if class == "" {
		class = config.Interactive
	}
	grant, err := r.opts.Admitter.Admit(req.Context(), Admission{
		RequestID: id,
		Account:   who.account,
		Class:     class,
		Tokens:    route.CostTokens,
	})
	if err != nil {
		return nil, verdict.AsError(err)
	}
	if refusal := r.recheck(*who); refusal != nil {
		grant.Done(0)
		return nil, refusal
	}
	return grant, nil
}

// openGrant is the grant of a call on an open route, which has no account.
type openGrant struct{}

func (openGrant) Done(float64) {}

func (r *Router) dispatchRoute(w http.ResponseWriter, req *http.Request, c routeCall) {
	key := claim.Key{Account: c.account(), Route: c.route.ID}
	held, ok := r.claimRequest(w, req, key, c.body, c.route.Idempotent)
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
