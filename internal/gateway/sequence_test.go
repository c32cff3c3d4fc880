package gateway

import (
	"context"
	"fmt"
	"io"
	"math/rand"
	"net/http"
	"slices"
	"testing"

	"papayaspan.dev/papayaspan/internal/backend"
	"papayaspan.dev/papayaspan/internal/fleet"
	"papayaspan.dev/papayaspan/internal/origin"
)

func TestEventsThatAreMissingOrOfAnotherRunAreRelayed(t *testing.T) {
	regular, irregular := origin.Numbering{First: 2}, origin.Numbering{Irregular: true, First: 6}
	for name, test := range map[string]struct {
		numbering origin.Numbering
		last      int64
		numbers   []int64
		want      []int64
		broken    bool
	}{
		"a new stream":                            {regular, -1, []int64{1, 2, 3}, []int64{1, 2, 3}, false},
		"the first event is missing":              {regular, -1, []int64{2, 3}, nil, true},
		"an unknown first event":                  {origin.Numbering{}, -1, []int64{0, 1}, []int64{0, 1}, false},
		"an unknown first event is missing":       {origin.Numbering{}, -1, []int64{2, 3}, nil, true},
		"streams begin with several numbers":      {origin.Numbering{First: -1}, -1, []int64{7, 8}, []int64{7, 8}, false},
		"an event is missing":                     {regular, -1, []int64{1, 2, 4}, []int64{1, 2}, true},
		"an event comes twice":                    {regular, -1, []int64{1, 2, 2, 3}, []int64{1, 2, 3}, false},
		"numbers go back":                         {regular, -1, []int64{1, 2, 3, 1, 2, 3, 4}, []int64{1, 2, 3}, true},
		"a resumed stream":                        {regular, 5, []int64{6, 7}, []int64{6, 7}, false},
		"a resumed stream from its begin":         {regular, 3, []int64{1, 2, 3, 4, 5}, []int64{4, 5}, false},
		"a resumed stream from its last event":    {regular, 3, []int64{3, 4, 5}, []int64{4, 5}, false},
		"a resumed stream too late":               {regular, 5, []int64{7, 8}, nil, true},
		"the last and the next one are missing":   {regular, 5, []int64{4, 7}, nil, true},
		"a resumed stream goes back":              {regular, 5, []int64{6, 7, 6}, []int64{6, 7}, true},
		"a resumed stream with a gap":             {regular, 5, []int64{5, 6, 8}, []int64{6}, true},
		"numbers are left out as a rule":          {irregular, -1, []int64{5, 10, 15}, []int64{5, 10, 15}, false},
		"they are left out in a resumed stream":   {irregular, 10, []int64{10, 15, 20}, []int64{15, 20}, false},
		"they are left out behind the begin":      {irregular, 10, []int64{5, 10, 15}, []int64{15}, false},
		"the last event is missing":               {irregular, 10, []int64{15, 20}, nil, true},
		"the last event is missing, next follows": {irregular, 10, []int64{11, 15}, []int64{11, 15}, false},
		"they go back":                            {irregular, -1, []int64{5, 10, 5}, []int64{5, 10}, true},
	} {
		s := &sequence{numbering: test.numbering, previous: -1}
		last, got, broken := test.last, []int64(nil), false
		for _, n := range test.numbers {
			isNew, err := s.next(last, n)
			if broken = err != nil; broken {
				break
			}
			if isNew {
				got, last = append(got, n), n
			}
		}
		if !slices.Equal(got, test.want) || broken != test.broken {
			t.Errorf("%s: %v, broken %v", name, got, broken)
		}
	}
}

// Servers number the events of a service by something else than their count.
func TestStreamsOfServiceThatLeavesNumbersOutAreRefused(t *testing.T) {
	g, _ := newTestGateway(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		for n := 3; n < 30; n += 3 {
			if _, err := fmt.Fprintf(w, "id: %d\ndata: a\n\n", n); err != nil {
				return
			}
		}
	})
	o := origin.Origin{Service: "llm"}
	g.opts.Origins.Observe([]origin.Origin{o})
	g.opts.Origins.SetComplete()
	g.opts.RunningSince = func(context.Context, *fleet.Entry) (int64, error) { return 0, nil }
	serve := func(last int64) *recordingSink {
		sink, call := &recordingSink{}, modelCall()
		call.LastEvent = last
		g.Serve(context.Background(), call, sink)
		return sink
	}
	refused := 0
	for sink := serve(-1); sink.aborted || sink.refusal != nil; sink = serve(-1) {
		if refused++; refused > 20 {
			t.Fatal("the streams go on being cut")
		}
	}
	t.Logf("%d streams were cut", refused)
	if sink := serve(9); sink.aborted || sink.refusal != nil {
		t.Errorf("a resumed stream is refused: %+v", sink.refusal)
	}
}

func TestServerThatGoesOnTooLateIsAskedForLastEvent(t *testing.T) {
	var asked []int64
	g, _ := newTestGateway(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, fmt.Sprintf("id: %d\ndata: a\n\n", asked[len(asked)-1]+2))
	})
	g.opts.Dialect = askedDialect{&asked}
	g.opts.Origins.Observe([]origin.Origin{{Service: "llm"}})
	g.opts.Origins.SetComplete()
	g.opts.RunningSince = func(context.Context, *fleet.Entry) (int64, error) { return 0, nil }
	var sinks []*recordingSink
	for range 2 {
		sink, call := &recordingSink{}, modelCall()
		call.LastEvent = 8
		g.Serve(context.Background(), call, sink)
		sinks = append(sinks, sink)
	}
	if !slices.Equal(asked, []int64{8, 7}) || sinks[0].body.Len() > 0 || sinks[1].body.String() != "id: 9\ndata: a\n\n" {
		t.Errorf("asked to go on after %v, relayed %q and %q", asked, sinks[0].body.String(), sinks[1].body.String())
	}
}

// askedDialect records the events after which servers are asked to go on.
type askedDialect struct{ asked *[]int64 }

func (d askedDialect) Header(c *Call, o Outgoing) http.Header {
	*d.asked = append(*d.asked, o.LastEvent)
	return c.Header.Clone()
}

func (askedDialect) Matches(*Call, *http.Response) bool { return true }

func (askedDialect) Head(id backend.ID, r *http.Response) Head { return signedDialect{}.Head(id, r) }

// Whatever numbers a server sends, those that reach the caller follow one another, or the server that
// leaves numbers out as a rule has sent the one before.
func TestRelayedNumbersDoNotFollowOneAnother(t *testing.T) {
	rng := rand.New(rand.NewSource(1))
	for range 200_000 {
		numbering := origin.Numbering{Irregular: rng.Intn(2) == 0, First: int64(rng.Intn(4) - 1)}
		s := &sequence{numbering: numbering, previous: -1}
		begin := int64(rng.Intn(6) - 1)
		last, previous, sent := begin, int64(-1), []int64{}
		for number := int64(rng.Intn(6)); len(sent) < 8; number += int64(rng.Intn(4) - rng.Intn(2)) {
			if number < 0 {
				break
			}
			sent = append(sent, number)
			isNew, err := s.next(last, number)
			if err != nil {
				break
			}
			sound := number == last+1 || last < 0 && !numbering.BeginsBefore(number) || numbering.Irregular && previous == last
			if isNew && !sound || !isNew && number > last || number < previous || isNew && number == previous {
				t.Fatalf("numbering %v, the caller has %d, the server sends %v: new %v", numbering, begin, sent, isNew)
			}
			if previous = number; isNew {
				last = number
			}
		}
	}
}
