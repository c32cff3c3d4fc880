package poison

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc"

	"papayaspan.dev/papayaspan/api/peer"
	"papayaspan.dev/papayaspan/internal/account"
	"papayaspan.dev/papayaspan/internal/backend"
	"papayaspan.dev/papayaspan/internal/vm"
)

// Directory provides the roster and connections to its VMs.
type Directory interface {
	Roster() Roster
	// Refresh has the contract of Peers.Refresh.
	Refresh(ctx context.Context)
	// Conn returns the connection to a VM.
	Conn(id vm.ID) (*grpc.ClientConn, error)
}

// Client implements Peers over gRPC.
type Client struct{ Directory }

func (c Client) peer(id vm.ID) (peer.PoisonClient, error) {
	conn, err := c.Conn(id)
	if err != nil {
		return nil, errors.Wrapf(err, "reach VM %s", id)
	}
	return peer.NewPoisonClient(conn), nil
}

// Acquire implements Peers.
func (c Client) Acquire(ctx context.Context, to vm.ID, r AcquireRequest) (Decision, error) {
	p, err := c.peer(to)
	if err != nil {
		return Decision{}, err
	}
	reply, err := p.Acquire(ctx, &peer.AcquireRequest{
		Vm: string(r.From), Version: r.Version, Content: toContent(r.Content), Evidence: toEvidence(r.Evidence),
	})
	if err != nil {
		return Decision{}, errors.Wrap(err, "acquire")
	}
	return Decision{
		Kind:       DecisionKind(reply.Kind),
		Grant:      fromGrant(reply.Grant),
		Evidence:   fromEvidence(reply.Evidence),
		RetryAfter: time.Duration(reply.RetryAfterMs) * time.Millisecond,
	}, nil
}

// Finish implements Peers.
func (c Client) Finish(ctx context.Context, to vm.ID, f Finish) error {
	p, err := c.peer(to)
	if err != nil {
		return err
	}
	_, err = p.Finish(ctx, &peer.FinishRequest{
		Vm: string(f.From), Version: f.Version, Content: toContent(f.Content), Evidence: toEvidence(f.Evidence),
		Grant: &peer.Grant{Version: f.Grant.Version, Number: f.Grant.Number}, Running: f.Running,
	})
	return errors.Wrap(err, "finish")
}

// Announce implements Peers. It waits for the connection to become ready until
// the context ends.
func (c Client) Announce(ctx context.Context, to vm.ID, a Announcement) (Ack, error) {
	p, err := c.peer(to)
	if err != nil {
		return Ack{}, err
	}
	reply, err := p.Announce(ctx, toAnnounce(a), grpc.WaitForReady(true))
	if err != nil {
		return Ack{}, errors.Wrap(err, "announce")
	}
	return Ack{
		From: vm.ID(reply.Vm), Version: reply.Version, Running: reply.Running,
		Fence: reply.Fence, Evidence: fromEvidence(reply.Evidence),
	}, nil
}

// Reserve implements Peers.
func (c Client) Reserve(ctx context.Context, to vm.ID, server backend.ID, content Content) (bool, error) {
	p, err := c.peer(to)
	if err != nil {
		return false, err
	}
	reply, err := p.Reserve(ctx, &peer.ReserveRequest{Server: string(server), Content: toContent(content)})
	return reply.GetReserved(), errors.Wrap(err, "reserve")
}

// Suspects implements Peers.
func (c Client) Suspects(ctx context.Context, to vm.ID) ([]Announcement, error) {
	p, err := c.peer(to)
	if err != nil {
		return nil, err
	}
	reply, err := p.Suspects(ctx, &peer.SuspectsRequest{})
	if err != nil {
		return nil, errors.Wrap(err, "suspects")
	}
	out := make([]Announcement, 0, len(reply.Suspects))
	for _, s := range reply.Suspects {
		out = append(out, fromAnnounce(s))
	}
	return out, nil
}

// Server implements peer.PoisonServer with a Guard.
type Server struct {
	peer.UnimplementedPoisonServer
	Guard *Guard
}

// Acquire implements peer.PoisonServer.
func (s Server) Acquire(ctx context.Context, r *peer.AcquireRequest) (*peer.AcquireReply, error) {
	d := s.Guard.HandleAcquire(ctx, AcquireRequest{
		From: vm.ID(r.Vm), Version: r.Version, Content: fromContent(r.Content), Evidence: fromEvidence(r.Evidence),
	})
	return &peer.AcquireReply{
		Kind:         peer.AcquireReply_Kind(d.Kind),
		Grant:        &peer.Grant{Version: d.Grant.Version, Number: d.Grant.Number},
		Evidence:     toEvidence(d.Evidence),
		RetryAfterMs: uint64(max(d.RetryAfter, 0).Milliseconds()),
	}, nil
}

// Finish implements peer.PoisonServer.
func (s Server) Finish(ctx context.Context, r *peer.FinishRequest) (*peer.FinishReply, error) {
	s.Guard.HandleFinish(ctx, Finish{
		From: vm.ID(r.Vm), Version: r.Version, Content: fromContent(r.Content),
		Evidence: fromEvidence(r.Evidence), Grant: fromGrant(r.Grant), Running: r.Running,
	})
	return &peer.FinishReply{}, nil
}

// Announce implements peer.PoisonServer.
func (s Server) Announce(ctx context.Context, r *peer.AnnounceRequest) (*peer.AnnounceReply, error) {
	ack := s.Guard.HandleAnnounce(ctx, fromAnnounce(r))
	return &peer.AnnounceReply{
		Vm: string(ack.From), Version: ack.Version, Running: ack.Running,
		Fence: ack.Fence, Evidence: toEvidence(ack.Evidence),
	}, nil
}

// Reserve implements peer.PoisonServer.
func (s Server) Reserve(_ context.Context, r *peer.ReserveRequest) (*peer.ReserveReply, error) {
	return &peer.ReserveReply{Reserved: s.Guard.HandleReserve(backend.ID(r.Server), fromContent(r.Content))}, nil
}

// Suspects implements peer.PoisonServer.
func (s Server) Suspects(context.Context, *peer.SuspectsRequest) (*peer.SuspectsReply, error) {
	reply := &peer.SuspectsReply{}
	for _, a := range s.Guard.Suspects() {
		reply.Suspects = append(reply.Suspects, toAnnounce(a))
	}
	return reply, nil
}

func toContent(c Content) *peer.Content {
	return &peer.Content{Account: string(c.Account), Digest: c.Digest[:]}
}

func fromContent(m *peer.Content) Content {
	c := Content{Account: account.ID(m.GetAccount())}
	copy(c.Digest[:], m.GetDigest())
	return c
}

func toEvidence(e Evidence) []*peer.Incident {
	out := make([]*peer.Incident, 0, len(e))
	for id, cleared := range e {
		out = append(out, &peer.Incident{Id: string(id), Cleared: cleared})
	}
	return out
}

func fromEvidence(m []*peer.Incident) Evidence {
	e := make(Evidence, len(m))
	for _, i := range m {
		e[Incident(i.Id)] = i.Cleared
	}
	return e
}

func fromGrant(m *peer.Grant) Grant {
	return Grant{Version: m.GetVersion(), Number: m.GetNumber()}
}

func toAnnounce(a Announcement) *peer.AnnounceRequest {
	return &peer.AnnounceRequest{Content: toContent(a.Content), Version: a.Version, Evidence: toEvidence(a.Evidence), Fence: a.Fence}
}

func fromAnnounce(m *peer.AnnounceRequest) Announcement {
	return Announcement{Content: fromContent(m.Content), Version: m.Version, Evidence: fromEvidence(m.Evidence), Fence: m.Fence}
}
