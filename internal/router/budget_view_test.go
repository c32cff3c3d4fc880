package router

import (
	"testing"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"papayaspan.dev/papayaspan/internal/spread"
	"papayaspan.dev/papayaspan/internal/standin/memplatform"
)

// A home that restarts takes its place from the first roster that it sees. The
// empty roster of a process that knows none must not be that one.
func TestBudgetViewIsEmptyBeforeTheFirstRoster(t *testing.T) {
	p := memplatform.New()
	s := spread.New(spread.Options{Table: p, Objects: p.Objects(), Membership: p, Log: zap.NewNop(), Metrics: metrics.NewRegistry()})
	if v := BudgetView(s)(); v.Roster != nil {
		t.Errorf("roster version %d", v.Roster.Version)
	}
}
