package gateway

import (
	"context"

	"github.com/pkg/errors"

	"papayaspan.dev/papayaspan/internal/fleet"
	"papayaspan.dev/papayaspan/internal/origin"
)

// sequence checks the numbers of the events in a server's response. Callers must get each event of
// a stream once and in order, while a server may leave some out or mix in those of another run.
type sequence struct {
	numbering origin.Numbering
	// previous is the number of the response's previous event; -1 before the first one.
	previous int64
	// steps counts the events that followed one that the caller has, and skips those of them before
	// which numbers were left out.
	steps, skips int
}

// next checks the number of the response's next event, where last is that of the last one that the
// caller has, or -1. It reports whether the event is new to the caller.
//
// Nothing is missing between two consecutive numbers. Other steps are believed only of servers
// that usually leave numbers out, and only if the server itself has sent the event before: it may go
// on too late. So are streams that begin with other numbers than usual.
func (s *sequence) next(last, number int64) (isNew bool, err error) {
	previous := s.previous
	s.previous = number
	if number < previous {
		return false, errors.Errorf("event %d follows %d", number, previous)
	}
	if number <= last {
		return false, nil
	}
	if previous >= 0 && previous == last {
		s.steps++
		if number != last+1 {
			s.skips++
		}
	}
	switch {
	case number == last+1:
		return true, nil
	case last < 0:
		if s.numbering.BeginsBefore(number) {
			return false, errors.Errorf("the stream begins with event %d", number)
		}
		return true, nil
	case s.numbering.Irregular && previous == last:
		return true, nil
	}
	return false, errors.Errorf("event %d follows %d of the caller and %d of the response", number, last, previous)
}

// originOf returns the origin of the streams that a server begins.
func originOf(e *fleet.Entry) origin.Origin {
	return origin.Origin{Service: e.Service, Version: e.Software}
}

func (a *attempt) newSequence() *sequence {
	return &sequence{numbering: a.t.g.opts.Origins.Numbering(originOf(a.candidate.Entry)), previous: -1}
}

// outOfOrder returns the failure of a response whose next event doesn't follow the last one.
func (a *attempt) outOfOrder(caller context.Context, s *sequence, err error) *failure {
	if a.t.lastEvent >= 0 && s.steps == 0 {
		a.t.g.opts.Origins.RecordLate(originOf(a.candidate.Entry))
	}
	return a.sentFailure(caller, "out_of_order", err)
}

// recordSteps records how the server numbers events, once its response has ended.
func (a *attempt) recordSteps(s *sequence) {
	if s.steps > 0 {
		a.t.g.opts.Origins.RecordSteps(originOf(a.candidate.Entry), string(a.candidate.Entry.ID), s.steps, s.skips)
	}
}

// resumeAfter returns the number of the event after which the server is asked to go on, or -1. A
// server that may go on too late is asked for the last event once more: it shows that none is missing
// behind it.
func (a *attempt) resumeAfter() int64 {
	t := a.t
	if t.lastEvent >= 0 && t.g.opts.Origins.GoesOnLate(originOf(a.candidate.Entry)) {
		return t.lastEvent - 1
	}
	return t.lastEvent
}
