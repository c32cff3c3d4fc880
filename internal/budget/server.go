package budget

import (
	"context"
	"math"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"papayaspan.dev/papayaspan/api/peer"
	"papayaspan.dev/papayaspan/internal/account"
	"papayaspan.dev/papayaspan/internal/config"
	"papayaspan.dev/papayaspan/internal/head"
	"papayaspan.dev/papayaspan/internal/vm"
)

// Server serves the budget calls of other VMs.
type Server struct {
	peer.UnimplementedBudgetServer
	// Service holds the buckets of the accounts whose home is this VM.
	Service *Service
}

var errAmount = status.Error(codes.InvalidArgument, "an amount of tokens is not a number of zero or more")

func validAmount(tokens float64) bool { return tokens >= 0 && !math.IsInf(tokens, 1) }

// Reserve implements peer.BudgetServer.
func (s Server) Reserve(_ context.Context, req *peer.BudgetReserveRequest) (*peer.BudgetReserveReply, error) {
	s.Service.refresh()
	reply := &peer.BudgetReserveReply{Answers: make([]*peer.ReserveAnswer, 0, len(req.Reservations))}
	for _, r := range req.Reservations {
		if !validAmount(r.Tokens) {
			return nil, errAmount
		}
		id := ReservationID{Holder: vm.Incarnation(req.Holder), Seq: r.Seq}
		a := s.Service.ledger.Reserve(account.ID(r.Account), id, r.Tokens)
		reply.Answers = append(reply.Answers, &peer.ReserveAnswer{
			Outcome:      peer.ReserveAnswer_Outcome(a.Outcome),
			RetryAfterUs: uint64(a.RetryAfter.Microseconds()),
		})
	}
	return reply, nil
}

// Settle implements peer.BudgetServer.
func (s Server) Settle(_ context.Context, req *peer.SettleRequest) (*peer.SettleReply, error) {
	s.Service.refresh()
	reply := &peer.SettleReply{}
	for _, x := range req.Settlements {
		if !validAmount(x.Used) {
			return nil, errAmount
		}
		id := ReservationID{Holder: vm.Incarnation(req.Holder), Seq: x.Seq}
		reply.Settled = append(reply.Settled, s.Service.ledger.Settle(account.ID(x.Account), id, x.Used))
	}
	return reply, nil
}

// Handover implements peer.BudgetServer.
func (s Server) Handover(_ context.Context, req *peer.HandoverRequest) (*peer.HandoverReply, error) {
	s.Service.refresh()
	reply := &peer.HandoverReply{}
	to := vm.VM{ID: vm.ID(req.ToVm), Incarnation: vm.Incarnation(req.ToIncarnation)}
	for _, b := range req.Buckets {
		a := s.Service.ledger.Accept(handoverOf(to, b))
		reply.Acceptances = append(reply.Acceptances, peer.HandoverReply_Acceptance(a))
	}
	return reply, nil
}

func handoverOf(to vm.VM, b *peer.Bucket) Handover {
	h := Handover{
		To:      to,
		Account: account.ID(b.Account),
		Version: head.RosterVersion(b.RosterVersion),
		Config:  config.Number(b.ConfigNumber),
		Level:   b.Level,
	}
	for _, x := range b.Holds {
		h.Holds = append(h.Holds, Hold{
			ID:          ReservationID{Holder: vm.Incarnation(x.Holder), Seq: x.Seq},
			Tokens:      x.Tokens,
			Age:         time.Duration(x.AgeUs) * time.Microsecond,
			RefundLimit: x.Room,
		})
	}
	return h
}

func bucketOf(h Handover) *peer.Bucket {
	b := &peer.Bucket{
		Account:       string(h.Account),
		RosterVersion: uint64(h.Version),
		ConfigNumber:  uint64(h.Config),
		Level:         h.Level,
	}
	for _, x := range h.Holds {
		b.Holds = append(b.Holds, &peer.Hold{
			Holder: uint64(x.ID.Holder),
			Seq:    x.ID.Seq,
			Tokens: x.Tokens,
			AgeUs:  uint64(x.Age.Microseconds()),
			Room:   x.RefundLimit,
		})
	}
	return b
}
