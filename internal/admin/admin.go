// Package admin implements the administration API defined in package design.
package admin

import (
	"context"
	"crypto/subtle"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"
	"goa.design/goa/v3/security"

	gen "papayaspan.dev/papayaspan/gen/admin"
	"papayaspan.dev/papayaspan/internal/account"
	"papayaspan.dev/papayaspan/internal/config"
	"papayaspan.dev/papayaspan/internal/platform"
	"papayaspan.dev/papayaspan/internal/roster"
	"papayaspan.dev/papayaspan/internal/settings"
	"papayaspan.dev/papayaspan/internal/ticket"
	"papayaspan.dev/papayaspan/internal/verdict"
	"papayaspan.dev/papayaspan/internal/vm"
)

// retryAfterSeconds is the delay after which a client should retry while the
// platform is unavailable.
const retryAfterSeconds = 5

// Tickets is the store of numbered tickets.
type Tickets interface {
	File(ctx context.Context, t ticket.Ticket) (ticket.Record, error)
	Get(ctx context.Context, n config.Number) (ticket.Record, error)
	List(ctx context.Context, after config.Number, limit int) ([]ticket.Record, error)
}

// VMProgress is the last ticket in force on one VM.
type VMProgress struct {
	VM     vm.VM
	Number config.Number
}

// Fleet gives access to this VM and to the state of the others.
type Fleet interface {
	// Current returns the configuration in force on this VM.
	Current() *config.Snapshot
	// VMProgress returns the last ticket in force on each VM of the roster.
	VMProgress(ctx context.Context) ([]VMProgress, error)
	// InForceEverywhere reports whether the ticket is in force on every VM that
	// may serve requests.
	InForceEverywhere(ctx context.Context, n config.Number) (bool, error)
	// InForceRecord returns the record of when the ticket was first known to be in force
	// on every VM, or platform.ErrNotFound if there is none.
	InForceRecord(ctx context.Context, n config.Number) (roster.InForceRecord, error)
	// Drain starts the graceful shutdown of this VM.
	Drain()
}

// Service implements the generated service interface and authenticates operators.
type Service struct {
	tickets   Tickets
	fleet     Fleet
	operators []settings.Operator
	log       *zap.Logger
}

var (
	_ gen.Service = (*Service)(nil)
	_ gen.Auther  = (*Service)(nil)
)

// New returns the service.
func New(tickets Tickets, fleet Fleet, operators []settings.Operator, log *zap.Logger) *Service {
	return &Service{tickets: tickets, fleet: fleet, operators: operators, log: log}
}

type operatorContextKey struct{}

// APIKeyAuth adds the name of the operator with this key to the context. Key
// hashes are compared in constant time.
func (s *Service) APIKeyAuth(ctx context.Context, key string, _ *security.APIKeyScheme) (context.Context, error) {
	keyHash := []byte(account.HashSecret(key))
	for _, o := range s.operators {
		if subtle.ConstantTimeCompare([]byte(o.KeyHash), keyHash) == 1 {
			return context.WithValue(ctx, operatorContextKey{}, o.Name), nil
		}
	}
	return ctx, &gen.Failure{Name: "unauthorized", Message: "the operator key is not known", Verdict: verdict.NotRun.String()}
}

func operatorName(ctx context.Context) string {
	name, _ := ctx.Value(operatorContextKey{}).(string)
	return name
}

// FileTicket implements gen.Service.
func (s *Service) FileTicket(ctx context.Context, p *gen.FileTicketPayload) (*gen.TicketRecord, error) {
	rec, err := s.tickets.File(ctx, toTicket(p, operatorName(ctx)))
	if err != nil {
		s.log.Warn("ticket_failed", zap.String("operator", operatorName(ctx)), zap.String("client_id", p.ClientID), zap.Error(err))
		return nil, toFailure(err, verdict.NotRun)
	}
	s.log.Info("ticket_filed",
		zap.String("operator", operatorName(ctx)),
		zap.String("client_id", p.ClientID),
		zap.Uint64("number", uint64(rec.Number)),
		zap.String("status", string(rec.Status)),
		zap.Int("problems", len(rec.Problems)))
	return s.withInForce(ctx, rec)
}

// ShowTicket implements gen.Service.
func (s *Service) ShowTicket(ctx context.Context, p *gen.ShowTicketPayload) (*gen.TicketRecord, error) {
	rec, err := s.tickets.Get(ctx, config.Number(p.Number))
	if err != nil {
		return nil, toFailure(err, verdict.NotRun)
	}
	return s.withInForce(ctx, rec)
}

// ListTickets implements gen.Service.
func (s *Service) ListTickets(ctx context.Context, p *gen.ListTicketsPayload) ([]*gen.TicketRecord, error) {
	records, err := s.tickets.List(ctx, config.Number(p.After), p.Limit)
	if err != nil {
		return nil, toFailure(err, verdict.NotRun)
	}
	out := make([]*gen.TicketRecord, len(records))
	for i, r := range records {
		out[i] = fromRecord(r)
	}
	return out, nil
}

// ShowState implements gen.Service.
func (s *Service) ShowState(ctx context.Context, _ *gen.ShowStatePayload) (*gen.State, error) {
	places, err := s.fleet.VMProgress(ctx)
	if err != nil {
		return nil, toFailure(err, verdict.NotRun)
	}
	snap := s.fleet.Current()
	state := &gen.State{Number: uint64(snap.Number), Objects: fromSnapshot(snap)}
	for _, p := range places {
		state.Vms = append(state.Vms, &gen.VM{
			ID:            string(p.VM.ID),
			FailureDomain: p.VM.FailureDomain,
			CallerAddress: p.VM.CallerAddress,
			Number:        uint64(p.Number),
			Leaving:       p.VM.Leaving,
		})
	}
	return state, nil
}

// Drain implements gen.Service.
func (s *Service) Drain(ctx context.Context, _ *gen.DrainPayload) error {
	s.log.Info("drain_requested", zap.String("operator", operatorName(ctx)))
	s.fleet.Drain()
	return nil
}

// withInForce returns the record with the VMs on which the ticket is in force. If
// these cannot be read, it returns the record without them and no error.
func (s *Service) withInForce(ctx context.Context, rec ticket.Record) (*gen.TicketRecord, error) {
	out := fromRecord(rec)
	if rec.Status != ticket.Accepted {
		return out, nil
	}
	s.addInForce(ctx, rec.Number, out)
	places, err := s.fleet.VMProgress(ctx)
	if err != nil {
		s.log.Warn("places_unknown", zap.Error(err))
		return out, nil
	}
	for _, p := range places {
		out.Places = append(out.Places, &gen.Place{
			VM:            string(p.VM.ID),
			FailureDomain: p.VM.FailureDomain,
			Number:        uint64(p.Number),
			InForce:       p.Number >= rec.Number,
		})
	}
	return out, nil
}

// addInForce sets whether the ticket is in force on every VM: from the stored
// record if there is one, otherwise from the current state of the VMs.
func (s *Service) addInForce(ctx context.Context, n config.Number, out *gen.TicketRecord) {
	inForce, err := s.fleet.InForceRecord(ctx, n)
	if err != nil {
		everywhere, err := s.fleet.InForceEverywhere(ctx, n)
		out.InForceEverywhere = everywhere && err == nil
		return
	}
	out.InForceEverywhere = true
	knownAt, rule := inForce.KnownAt.Format(time.RFC3339), string(inForce.Status.Rule)
	out.InForceKnownAt, out.InForceRule = &knownAt, &rule
	out.InForceAt = mapSlice(inForce.Status.At, convert[vm.ID, string])
}

// toFailure maps an error to the API's error type. The verdict of an unknown outcome
// is MayHaveRun; filing the same ticket again is safe and returns the outcome.
func toFailure(err error, v verdict.Verdict) *gen.Failure {
	f := &gen.Failure{Name: "unavailable", Message: err.Error(), Verdict: v.String()}
	switch {
	case errors.Is(err, platform.ErrNotFound):
		f.Name = "not_found"
		return f
	case errors.Is(err, ticket.ErrReused):
		f.Name = "conflict"
		return f
	case errors.Is(err, platform.ErrOutcomeUnknown):
		f.Verdict = verdict.MayHaveRun.String()
	}
	after := retryAfterSeconds
	f.RetryAfterSeconds = &after
	return f
}
