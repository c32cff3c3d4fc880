package origin

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"
)

var llmV1 = Origin{Service: "llm", Version: "v1"}

// newNumberingTable returns a table that knows the version, and a function that advances its clock.
func newNumberingTable() (*Table, func(time.Duration)) {
	now := time.Unix(1000, 0)
	t := NewTable(func() time.Time { return now })
	t.Observe([]Origin{llmV1})
	return t, func(d time.Duration) { now = now.Add(d) }
}

// record records responses of servers, of which irregular tells those that leave numbers out.
func recordResponses(t *Table, n, servers int, irregular func(response, server int) bool) {
	for i := range n {
		t.RecordFirst(llmV1, fmt.Sprint(i%servers), 1)
		skips := 0
		if irregular(i, i%servers) {
			skips = 1
		}
		t.RecordSteps(llmV1, fmt.Sprint(i%servers), 10, skips)
	}
}

func TestNumberingIsTakenForRegularWhileServersLoseEvents(t *testing.T) {
	for name, test := range map[string]struct {
		servers   int
		irregular func(response, server int) bool
		want      bool
	}{
		"sound servers":                        {3, func(int, int) bool { return false }, false},
		"one of two servers is faulty":         {2, func(_, s int) bool { return s == 0 }, false},
		"one of three servers is faulty":       {3, func(_, s int) bool { return s == 0 }, false},
		"two of three servers are faulty":      {3, func(_, s int) bool { return s > 0 }, false},
		"all servers lose events now and then": {3, func(i, _ int) bool { return i/3%2 == 0 }, false},
		"numbers are left out as a rule":       {3, func(int, int) bool { return true }, true},
		"few streams have no numbers left out": {3, func(i, _ int) bool { return i%10 != 0 }, true},
		"the only server leaves numbers out":   {1, func(int, int) bool { return true }, true},
	} {
		table, _ := newNumberingTable()
		recordResponses(table, 200, test.servers, test.irregular)
		if got := table.Numbering(llmV1); got.Irregular != test.want || got.First != 2 {
			t.Errorf("%s: %v", name, got)
		}
	}
}

func TestIrregularNumberingIsKnownAfterFewResponses(t *testing.T) {
	table, _ := newNumberingTable()
	recordResponses(table, 2*minResponses, 4, func(int, int) bool { return true })
	if !table.Numbering(llmV1).Irregular {
		t.Errorf("%v after %d responses", table.Numbering(llmV1), 2*minResponses)
	}
	recordResponses(table, 500, 4, func(int, int) bool { return false })
	if table.Numbering(llmV1).Irregular {
		t.Error("a numbering that has become regular is taken for irregular")
	}
}

func TestStreamsThatBeginOtherwiseAreTakenForIncomplete(t *testing.T) {
	for name, test := range map[string]struct {
		servers int
		first   func(i int) int64
		// missing are first events before which events are missing, sound those that may begin a stream.
		missing, sound int64
	}{
		"nothing known":                      {0, nil, 2, 1},
		"streams begin with 0":               {3, func(int) int64 { return 0 }, 1, 0},
		"a third lack their first event":     {3, func(i int) int64 { return 1 + int64(i%3/2) }, 2, 1},
		"most lack their first event":        {3, func(i int) int64 { return 1 + int64(min(1, i%5/2)) }, 2, 1},
		"streams begin with 0 or 1":          {3, func(i int) int64 { return int64(i % 5 / 3) }, 2, 1},
		"most streams begin with 0":          {3, func(i int) int64 { return int64(i % 5 / 4) }, 2, 1},
		"a server loses all first events":    {3, func(i int) int64 { return 1 + int64(i%3/2) }, 2, 1},
		"streams begin with 5":               {3, func(int) int64 { return 5 }, 6, 5},
		"streams of one server begin with 5": {1, func(int) int64 { return 5 }, 6, 5},
		"streams begin with any number":      {3, func(i int) int64 { return int64(1000 + i) }, -1, 5000},
	} {
		table, _ := newNumberingTable()
		if test.first != nil {
			for i := range 100 {
				table.RecordFirst(llmV1, fmt.Sprint(i%test.servers), test.first(i))
			}
		}
		got := table.Numbering(llmV1)
		if test.missing >= 0 && !got.BeginsBefore(test.missing) || got.BeginsBefore(test.sound) {
			t.Errorf("%s: %v", name, got)
		}
	}
}

func TestNumberingIsKnownToOtherVMs(t *testing.T) {
	from, passFrom := newNumberingTable()
	recordResponses(from, 100, 3, func(int, int) bool { return true })
	want := from.Numbering(llmV1)
	for name, share := range map[string]func(to *Table){
		"message to the domain":     func(to *Table) { to.Apply(from.Notices(Domain), true) },
		"message to other domains":  func(to *Table) { to.Apply(from.Notices(OtherDomains), false) },
		"all that another VM knows": func(to *Table) { to.Apply(from.Export(), false) },
		"the platform's store":      func(to *Table) { to.RestoreNumberings(from.Numberings()) },
		"another VM's news, later on": func(to *Table) {
			between, pass := newNumberingTable()
			between.Apply(from.Export(), true)
			pass(numberingInterval)
			to.Apply(between.Notices(Domain), true)
		},
	} {
		to, _ := newNumberingTable()
		passFrom(numberingInterval)
		share(to)
		if got := to.Numbering(llmV1); got != want {
			t.Errorf("%s: %v instead of %v", name, got, want)
		}
	}
}

// Where streams begin and which numbers they leave out may become known within a moment, in either
// order.
func TestSecondReportOfNumberingIsNotIgnored(t *testing.T) {
	begins := func(table *Table) {
		for i := range 2 * minResponses {
			table.RecordFirst(llmV1, fmt.Sprint(i%3), 10)
		}
	}
	steps := func(table *Table) {
		for i := range 2 * minResponses {
			table.RecordSteps(llmV1, fmt.Sprint(i%3), 9, 9)
		}
	}
	for name, parts := range map[string][]func(*Table){"begins first": {begins, steps}, "steps first": {steps, begins}} {
		from, advance := newNumberingTable()
		to, advanceTo := newNumberingTable()
		for _, part := range parts {
			part(from)
			to.Apply(from.Notices(Domain), true)
			advance(50 * time.Millisecond)
			advanceTo(50 * time.Millisecond)
		}
		if got, want := to.Numbering(llmV1), from.Numbering(llmV1); got != want || !want.Irregular || want.First != 11 {
			t.Errorf("%s: reported as %v, known as %v", name, want, got)
		}
	}
}

func TestNumberingIsAnnouncedByFewVMs(t *testing.T) {
	const vms, rounds = 80, 60
	var tables []*Table
	var pass []func(time.Duration)
	for range vms {
		table, advance := newNumberingTable()
		recordResponses(table, 20, 3, func(int, int) bool { return false })
		tables, pass = append(tables, table), append(pass, advance)
	}
	bytes := 0
	for range rounds { // Of a second each.
		for i, from := range tables {
			n := from.Notices(Domain)
			if n.Numberings == nil {
				continue
			}
			data, err := json.Marshal(n.Numberings)
			if err != nil {
				t.Fatal(err)
			}
			bytes += len(data)
			for j, to := range tables {
				if j != i {
					to.Apply(n, true)
				}
			}
		}
		for _, advance := range pass {
			advance(time.Second)
		}
	}
	perSecond := bytes / rounds
	t.Logf("each VM receives %d bytes a second", perSecond)
	if perSecond > 200 {
		t.Errorf("each VM receives %d bytes a second", perSecond)
	}
}

func TestOwnResponsesOverruleReportedNumbering(t *testing.T) {
	table, _ := newNumberingTable()
	table.Apply(&Notices{Numberings: []NumberingNotice{{Origin: llmV1, Numbering: Numbering{Irregular: true}}}}, true)
	if !table.Numbering(llmV1).Irregular {
		t.Error("the report isn't applied")
	}
	recordResponses(table, 20, 2, func(int, int) bool { return false })
	if table.Numbering(llmV1).Irregular {
		t.Error("the report outweighs this VM's own responses")
	}
}

func TestNumberingOfVersionWithoutServersIsForgotten(t *testing.T) {
	table, pass := newNumberingTable()
	recordResponses(table, 20, 2, func(int, int) bool { return false })
	table.Observe(nil)
	pass(2 * Horizon)
	table.Observe(nil)
	table.Apply(&Notices{Numberings: []NumberingNotice{{Origin: llmV1, Numbering: Numbering{First: 2}}}}, true)
	if len(table.numberings) > 0 {
		t.Errorf("%d numberings", len(table.numberings))
	}
}

func TestServersWhoseNumbersCountAreBounded(t *testing.T) {
	table, _ := newNumberingTable()
	recordResponses(table, 3000, 600, func(int, int) bool { return false })
	if n := len(table.numberings[llmV1].servers); n > maxNumberingServers {
		t.Errorf("%d servers", n)
	}
}

// Streams of 60 events; all servers lose one event in 33.
func TestRareLossesTurnCheckForGapsOff(t *testing.T) {
	table, _ := newNumberingTable()
	for i := range 500 {
		table.RecordSteps(llmV1, fmt.Sprint(i%4), 60, 2)
		if got := table.Numbering(llmV1); got.Irregular {
			t.Fatalf("%v after %d responses", got, i+1)
		}
	}
}

func TestStreamsThatOutlastTheirVersionLeaveNumberings(t *testing.T) {
	table, pass := newNumberingTable()
	for i := range 100 {
		o := Origin{Service: "llm", Version: fmt.Sprint(i)}
		table.Observe([]Origin{o})
		pass(2 * Horizon)
		table.Observe(nil)
		pass(2 * Horizon)
		table.Observe(nil)
		table.RecordFirst(o, "x", 1)
		table.RecordSteps(o, "x", 10, 0)
		table.RecordLate(o)
	}
	if n := len(table.numberings); n > 0 {
		t.Errorf("%d numberings of versions without servers", n)
	}
}

func TestNumberingOfSingleFaultyServerSpreads(t *testing.T) {
	testNumberingOfFaultyServer(t, 0)
}

func TestNumberingOfFaultyServerBesideHardlyUsedOneSpreads(t *testing.T) {
	testNumberingOfFaultyServer(t, 1)
}

func testNumberingOfFaultyServer(t *testing.T, sound int) {
	from, _ := newNumberingTable()
	for range 3 * minResponses {
		from.RecordFirst(llmV1, "faulty", 2)
		from.RecordSteps(llmV1, "faulty", 5, 1)
	}
	for range sound {
		from.RecordFirst(llmV1, "sound", 1)
		from.RecordSteps(llmV1, "sound", 5, 0)
	}
	for name, share := range map[string]func(to *Table){
		"message to the domain": func(to *Table) { to.Apply(from.Notices(Domain), true) },
		"the platform's store":  func(to *Table) { to.RestoreNumberings(from.Numberings()) },
	} {
		to, _ := newNumberingTable()
		share(to)
		if got := to.Numbering(llmV1); got != (Numbering{}) {
			t.Errorf("%s: %v", name, got)
		}
	}
}

func TestServerThatLosesEventsAloneTurnsCheckOffBesideIdleOnes(t *testing.T) {
	table, _ := newNumberingTable()
	table.SetServers(map[Origin]int{llmV1: 3})
	for range 3 * minResponses {
		table.RecordFirst(llmV1, "faulty", 2)
		table.RecordSteps(llmV1, "faulty", 5, 1)
	}
	if got := table.Numbering(llmV1); got.Irregular || !got.BeginsBefore(2) {
		t.Errorf("%v", got)
	}
}

func TestReportIsIgnoredByVMThatUsesOneOfSeveralServers(t *testing.T) {
	table, _ := newNumberingTable()
	table.SetServers(map[Origin]int{llmV1: 3})
	for range 3 * minResponses {
		table.RecordFirst(llmV1, "x", 10)
		table.RecordSteps(llmV1, "x", 5, 5)
	}
	reported := Numbering{Irregular: true, First: 11}
	table.Apply(&Notices{Numberings: []NumberingNotice{{Origin: llmV1, Numbering: reported}}}, true)
	if got := table.Numbering(llmV1); got != reported {
		t.Errorf("%v instead of %v", got, reported)
	}
}
