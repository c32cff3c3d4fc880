package budget

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"papayaspan.dev/papayaspan/api/peer"
)

// maxBatch bounds the reservations of one call.
const maxBatch = 256

// batches gathers reservations for the same home: while one call is under way
// the next ones wait and go together.
type batches struct {
	service *Service
	mu      sync.Mutex
	waiting map[string][]*call // by peer address; present while a sender runs
}

// call is one reservation on its way.
type call struct {
	reservation *peer.Reservation
	answer      Answer
	err         error
	done        chan struct{}
}

// reserve sends a reservation with the next batch.
func (b *batches) reserve(ctx context.Context, addr string, r *peer.Reservation) (Answer, error) {
	c := &call{reservation: r, done: make(chan struct{})}
	b.enqueue(addr, c)
	select {
	case <-c.done:
		return c.answer, c.err
	case <-ctx.Done():
		return Answer{}, errors.Wrap(ctx.Err(), "reserve")
	}
}

func (b *batches) enqueue(addr string, c *call) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.waiting == nil {
		b.waiting = map[string][]*call{}
	}
	_, running := b.waiting[addr]
	b.waiting[addr] = append(b.waiting[addr], c)
	if !running {
		go b.sendAll(addr)
	}
}

// take returns the next batch, or nil if none waits and the sender must end.
func (b *batches) take(addr string) []*call {
	b.mu.Lock()
	defer b.mu.Unlock()
	waiting := b.waiting[addr]
	if len(waiting) == 0 {
		delete(b.waiting, addr)
		return nil
	}
	n := min(len(waiting), maxBatch)
	b.waiting[addr] = waiting[n:]
	return waiting[:n]
}

func (b *batches) sendAll(addr string) {
	for batch := b.take(addr); batch != nil; batch = b.take(addr) {
		b.send(addr, batch)
		for _, c := range batch {
			close(c.done)
		}
	}
}

func (b *batches) send(addr string, batch []*call) {
	req := &peer.BudgetReserveRequest{Holder: uint64(b.service.opts.Self.Incarnation)}
	for _, c := range batch {
		req.Reservations = append(req.Reservations, c.reservation)
	}
	reply, err := b.service.callReserve(addr, req)
	for i, c := range batch {
		if err != nil {
			c.err = err
			continue
		}
		a := reply.Answers[i]
		c.answer = Answer{Outcome: Outcome(a.Outcome), RetryAfter: time.Duration(a.RetryAfterUs) * time.Microsecond}
	}
}

func (s *Service) callReserve(addr string, req *peer.BudgetReserveRequest) (*peer.BudgetReserveReply, error) {
	client, err := s.opts.Client(addr)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	reply, err := client.Reserve(ctx, req)
	if err != nil {
		return nil, errors.Wrapf(err, "reserve at %s", addr)
	}
	if len(reply.Answers) != len(req.Reservations) {
		return nil, errors.Errorf("%s answered %d of %d reservations", addr, len(reply.Answers), len(req.Reservations))
	}
	return reply, nil
}
