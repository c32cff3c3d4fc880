package node

import (
	"context"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"

	"papayaspan.dev/papayaspan/internal/platform"
)

// storeMeter counts the calls to the platform's store by kind and table, because each has a price.
type storeMeter struct {
	table   platform.Table
	feed    platform.Feed
	metrics metrics.Registry
}

func (m *storeMeter) count(kind, key string) {
	table, _, _ := strings.Cut(key, "/")
	metrics.GetOrRegisterCounter("store_calls."+kind+"."+table, m.metrics).Inc(1)
}

func (m *storeMeter) Get(ctx context.Context, keys ...string) ([]platform.Row, error) {
	for _, key := range keys { // Each is a call.
		m.count("get", key)
	}
	return m.table.Get(ctx, keys...)
}

func (m *storeMeter) Scan(ctx context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	m.count("scan", prefix)
	return m.table.Scan(ctx, prefix, after, limit)
}

func (m *storeMeter) Commit(ctx context.Context, checks []platform.Check, writes []platform.Write) error {
	switch {
	case len(writes) > 0:
		m.count("commit", writes[0].Key)
	case len(checks) > 0:
		m.count("commit", checks[0].Key)
	}
	return m.table.Commit(ctx, checks, writes)
}

func (m *storeMeter) Rows(ctx context.Context, table string) (platform.Listing, error) {
	m.count("rows", table)
	return m.feed.Rows(ctx, table)
}

func (m *storeMeter) Changes(ctx context.Context, table string, after platform.Revision, wait time.Duration) ([]platform.Change, platform.Revision, error) {
	m.count("changes", table)
	return m.feed.Changes(ctx, table, after, wait)
}
