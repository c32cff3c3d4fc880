package gateway

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"papayaspan.dev/papayaspan/internal/catalog"
	"papayaspan.dev/papayaspan/internal/selector"
	"papayaspan.dev/papayaspan/internal/verdict"
)

// codeConfigurationChanged is the code of an attempt that was not sent because the configuration had
// changed since the request was evaluated.
const codeConfigurationChanged = "configuration_changed"

// configurationChanged reports whether the call has to be evaluated again before it is sent. A stream
// whose response has begun goes on under the configuration that admitted it.
func (t *task) configurationChanged() bool { return !t.begun && t.g.Catalog() != t.catalog }

// reevaluate applies the configuration in force to a call that has waited, and returns the service for
// it. A returned error is the final response.
func (t *task) reevaluate(service *catalog.Service) (*catalog.Service, *verdict.Error) {
	before, deadline := t.catalogVersion(), t.deadline
	refusal := t.applyCatalog(t.g.Catalog())
	if refusal == nil {
		service, refusal = t.keepService(service)
	}
	t.g.meters.reevaluations.Inc(1)
	fields := []zap.Field{
		zap.String("request_id", t.call.ID), zap.String("account", string(t.account.ID)), zap.String("route", t.routeName()),
		zap.String("from", before), zap.String("to", t.catalogVersion()),
		zap.Duration("waited", t.waited()), zap.Duration("deadline_moved", t.deadline.Sub(deadline)),
	}
	if refusal != nil {
		fields = append(fields, zap.String("refusal", refusal.Code))
	}
	t.g.opts.Log.Info("request_reevaluated", fields...)
	return service, refusal
}

// applyCatalog evaluates the call by another configuration. The account that was charged stays the
// call's account if the call is refused.
func (t *task) applyCatalog(next *catalog.Catalog) *verdict.Error {
	t.catalog = next
	route := next.Route(t.call.Host, t.call.Path)
	if route == nil {
		return routeUnknownError()
	}
	account, refusal := t.findAccount(next, route)
	if refusal != nil {
		return refusal
	}
	t.route = route
	t.setDeadline()
	if t.timeLeft() <= 0 {
		return verdict.Refuse(http.StatusServiceUnavailable, "deadline_passed", "the time limit became shorter than the request has waited")
	}
	charged := t.account
	t.account = account
	if charged.ID == account.ID {
		return nil
	}
	if t.ran == verdict.NotRun {
		t.g.opts.Quota.Return(charged.ID, t.units)
	}
	return t.chargeQuota()
}

// keepService returns the call's service by the configuration in force, or another one if the route no
// longer leads there.
func (t *task) keepService(service *catalog.Service) (*catalog.Service, *verdict.Error) {
	if next := t.catalog.Service(service.Name); next != nil && t.route.Leads(service.Name) {
		return next, nil
	}
	return t.chooseService()
}

// catalogVersion returns the version of the configuration that the call was evaluated by, for logs.
func (t *task) catalogVersion() string {
	if t.catalog == nil {
		return ""
	}
	return strconv.FormatUint(uint64(t.catalog.Version), 10)
}

// findAccount returns the account of the call's key, an empty one if the route needs none.
func (t *task) findAccount(c *catalog.Catalog, route *catalog.Route) (*catalog.Account, *verdict.Error) {
	if !c.HasAccounts() || route.Open {
		return &catalog.Account{}, nil
	}
	if account := c.Account(t.call.Key); account != nil {
		return account, nil
	}
	return nil, verdict.Refuse(http.StatusUnauthorized, "key_unknown", "the key is not known")
}

func routeUnknownError() *verdict.Error {
	return verdict.Refuse(http.StatusNotFound, "route_unknown", "no route leads to this host and path")
}

// setDeadline sets the call's deadline by its route.
func (t *task) setDeadline() {
	t.deadline = t.call.Arrived.Add(t.route.Timeout)
	if limit := t.call.CallerTimeout; limit > 0 && limit < t.route.Timeout {
		t.deadline = t.call.Arrived.Add(limit)
	}
}

// withDeadline returns a context that ends at the call's deadline.
func (t *task) withDeadline(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithDeadline(ctx, time.Now().Add(t.timeLeft()))
}

// setPrompt sets the prompt for the engines of a service.
func (t *task) setPrompt(service *catalog.Service) {
	t.prompt = nil
	if service.Engine != nil && t.call.Model != "" {
		t.prompt = selector.NewPrompt(t.call.Model, t.cacheScope(), t.call.PromptTokens, t.call.Parts)
		t.prompt.EngineTokens = service.Engine.CacheTokens
	}
}
