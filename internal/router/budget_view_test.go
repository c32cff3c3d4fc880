package router

import (
	"testing"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"papayaspan.dev/papayaspan/internal/spread"
	"papayaspan.dev/papayaspan/internal/standin/memplatform"
)

// A restarted VM takes its incarnation before the restart from the first roster in
// the view. The empty roster of a process that knows no roster yet must not count
// as the first one.
func TestBudgetViewIsEmptyBeforeTheFirstRoster(t *testing.T) {
	p := memplatform.New()
	s := spread.New(spread.Options{Table: p, Objects: p.Objects(), Membership: p, Log: zap.NewNop(), Metrics: metrics.NewRegistry()})
	if v := BudgetView(s)(); v.Roster != nil {
		t.Errorf("roster version %d", v.Roster.Version)
	}
}
