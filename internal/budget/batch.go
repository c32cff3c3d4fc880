package budget

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"papayaspan.dev/papayaspan/api/peer"
)

// maxBatch bounds the reservations or settlements of one call.
const maxBatch = 256

// reservationBatcher batches reservations at the same home: while one call is
// in flight, further reservations queue up and are sent together.
type reservationBatcher struct {
	service *Service
	mu      sync.Mutex
	queues  map[string][]*queuedReservation // by peer address; present while a sender runs
}

// queuedReservation is a reservation that is queued or in flight.
type queuedReservation struct {
	reservation *peer.Reservation
	answer      Answer
	err         error
	done        chan struct{}
}

// reserve sends a reservation with the next batch and waits for the answer.
func (b *reservationBatcher) reserve(ctx context.Context, addr string, r *peer.Reservation) (Answer, error) {
	c := &queuedReservation{reservation: r, done: make(chan struct{})}
	b.enqueue(addr, c)
	select {
	case <-c.done:
		return c.answer, c.err
	case <-ctx.Done():
		return Answer{}, errors.Wrap(ctx.Err(), "reserve")
	}
}

func (b *reservationBatcher) enqueue(addr string, c *queuedReservation) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.queues == nil {
		b.queues = map[string][]*queuedReservation{}
	}
	_, running := b.queues[addr]
	b.queues[addr] = append(b.queues[addr], c)
	if !running {
		go b.sendAll(addr)
	}
}

// takeBatch removes and returns the next batch. It returns nil if the queue is
// empty; the sender must then end.
func (b *reservationBatcher) takeBatch(addr string) []*queuedReservation {
	b.mu.Lock()
	defer b.mu.Unlock()
	waiting := b.queues[addr]
	if len(waiting) == 0 {
		delete(b.queues, addr)
		return nil
	}
	n := min(len(waiting), maxBatch)
	b.queues[addr] = waiting[n:]
	return waiting[:n]
}

// sendAll sends batches to one home until its queue is empty.
func (b *reservationBatcher) sendAll(addr string) {
	for batch := b.takeBatch(addr); batch != nil; batch = b.takeBatch(addr) {
		b.send(addr, batch)
		for _, c := range batch {
			close(c.done)
		}
	}
}

func (b *reservationBatcher) send(addr string, batch []*queuedReservation) {
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
