package main

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

var zones = []string{"zone-a", "zone-b", "zone-c"}

// deployment is a small deployment: one router, one plain worker and some engines in each zone.
type deployment struct {
	store   *store
	routers []*router
	engines []*worker
	apps    []*worker
}

// config is the operator's configuration, with the kinds of requests of the sheets.
func config(version int) map[string]any {
	route := func(name, prefix, kind, service string, timeout, objective int, more map[string]any) map[string]any {
		r := map[string]any{
			"name": name, "host": "calls.example", "prefix": prefix, "type": kind, "timeout_ms": timeout,
			"target_latency_ms": objective, "priority": 1, "service": service, "max_attempts": 2, "public": false,
		}
		for k, v := range more {
			r[k] = v
		}
		return r
	}
	return map[string]any{
		"version": version,
		"routes": []any{
			route("read", "/read/", "idempotent", "app", 1500, 100, nil),
			route("book", "/book/", "non_idempotent", "app", 1500, 100, nil),
			route("plan", "/plan/", "streaming", "llm", 12000, 1000, map[string]any{"sticky": true, "resumable": true, "target_gap_ms": 300}),
		},
		"services": []any{
			map[string]any{"name": "app", "health_path": "/healthz", "max_connections": 96},
			map[string]any{"name": "llm", "health_path": "/healthz", "max_connections": 360, "engine": map[string]any{
				"slots": 64, "kv_capacity": 168532, "kv_token_bytes": 35136, "link_mbps": 180000.0, "models": []any{map[string]any{"name": "model-1"}},
			}},
		},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{
			map[string]any{"name": "shop", "api_keys": []string{"shop-key"}, "unit": "tokens", "uncached_tokens": 200},
		},
	}
}

// options are the properties of a deployment that differ between cases.
type options struct {
	// cuts is set if paths to workers are cut.
	cuts bool
	// engines is the number of engines in each zone.
	engines int
	// prepare may change a worker before it starts.
	prepare func(*worker)
}

// newDeployment starts a deployment and waits until all routers are ready.
func newDeployment(o options) *deployment {
	d := &deployment{store: newStore()}
	d.store.put("op", "config", config(3))
	d.store.put("op", "version/model-1", map[string]any{"model": "model-1", "version": 1})
	for _, zone := range zones {
		for i, service := range append(slices.Repeat([]string{"llm"}, o.engines), "app") {
			w := &worker{store: d.store, number: i, service: service, zone: zone, software: "v1", events: 40, pause: 50 * time.Millisecond, engine: service == "llm", nameNew: true}
			if o.prepare != nil {
				o.prepare(w)
			}
			w.start()
			if w.engine {
				d.engines = append(d.engines, w)
			} else {
				d.apps = append(d.apps, w)
			}
		}
	}
	for i, zone := range zones {
		r := newRouter(fmt.Sprintf("edge-%s-%d", zone, i+1), zone, d.store, !o.cuts, workDir)
		d.routers = append(d.routers, r)
		routers = append(routers, r)
		r.start()
	}
	d.awaitReady(d.routers...)
	time.Sleep(3 * time.Second) // Traffic starts some seconds after the machines.
	return d
}

func (d *deployment) awaitReady(list ...*router) {
	for _, r := range list {
		deadline := time.Now().Add(15 * time.Second)
		for !r.isReady() {
			if time.Now().After(deadline) {
				fatal("router %s isn't ready", r.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// plan returns a streaming request with the given parts of its prompt.
func plan(parts string, tokens int) request {
	return request{
		method: "POST", path: "/plan/x", key: "shop-key", deadline: 12 * time.Second,
		body: strings.NewReader("prompt of the parts " + parts),
		header: map[string]string{
			"Papayaspan-Model":       "model-1",
			"Papayaspan-Token-Usage": fmt.Sprintf("%d,40", tokens),
			"Papayaspan-Prefix-Hash": parts,
		},
	}
}
