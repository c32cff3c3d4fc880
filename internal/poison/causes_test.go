package poison

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"papayaspan.dev/papayaspan/internal/backend"
	"papayaspan.dev/papayaspan/internal/crashcause"
	"papayaspan.dev/papayaspan/internal/verdict"
	"papayaspan.dev/papayaspan/internal/vm"
)

var (
	commonPart  = strings.Repeat("All requests begin with these rules. ", 40)
	crashedPart = commonPart + strings.Repeat("This page crashes servers. ", 100)
	soundPart   = commonPart + strings.Repeat("This page does not. ", 100)
)

// promptRequest returns a request whose prompt continues a shared prefix.
func promptRequest(shared string, n int) RunRequest {
	body := fmt.Sprintf("%s case %d", shared, n)
	return RunRequest{
		Account: "a", Content: func() Content { return NewContent(nil, "a", "m", []byte(body)) },
		Traits: func() crashcause.Traits { return NewTraits("a/m", body, []byte(body)) },
	}
}

// crashTogether runs a request that crashes its server beside a sound one of another VM.
func crashTogether(t *testing.T, cl *cluster, n int) {
	t.Helper()
	server := onServer(backend.ID(fmt.Sprint("s", n)))
	guards := []*Guard{cl.guards["vm-1"], cl.guards["vm-2"]}
	var runs []*Run
	// The VMs tell one another times in milliseconds: crashes that are closer may be simultaneous.
	time.Sleep(5 * time.Millisecond)
	for i, shared := range []string{crashedPart, soundPart} {
		run, _, err := guards[(n+i)%2].Begin(t.Context(), promptRequest(shared, n), server)
		if err != nil {
			t.Fatalf("crash %d: %v", n, err)
		}
		runs = append(runs, run)
	}
	for i, run := range runs {
		guards[(n+i)%2].End(run, Crashed)
	}
}

func checkRefused(t *testing.T, cl *cluster, ids ...vm.ID) {
	t.Helper()
	for i, id := range ids {
		_, _, err := cl.guards[id].Begin(t.Context(), promptRequest(crashedPart, 100+i), onServer("s9"))
		if e := verdict.AsError(err); err == nil || e.Code != "poison_request" || e.Verdict != verdict.NotRun || e.RetryAfter == 0 {
			t.Errorf("%s: a request that begins with the prefix that crashed three servers: %v", id, err)
		}
	}
}

// Guards against a prefix that goes on crashing servers as no two requests with it are alike, and
// against the refusal of requests that share only a part of it, or were on the same servers.
func TestPrefixThatCrashesServersIsRefusedByAllVMs(t *testing.T) {
	cl := newCluster("vm-1", "vm-2", "vm-3")
	for n := range 3 {
		crashTogether(t, cl, n)
		run, _, err := cl.guards["vm-3"].Begin(t.Context(), promptRequest(soundPart, 50+n), onServer("s8"))
		if err != nil {
			t.Fatalf("a sound request after crash %d: %v", n, err)
		}
		cl.guards["vm-3"].End(run, Completed)
	}
	checkRefused(t, cl, "vm-1", "vm-2", "vm-3")
	for i, shared := range []string{soundPart, commonPart, "short"} {
		for id, g := range cl.guards {
			if _, _, err := g.Begin(t.Context(), promptRequest(shared, 200+i), onServer("s9")); err != nil {
				t.Errorf("%s: a sound request: %v", id, err)
			}
		}
	}

	// A VM that restarts learns it before it serves.
	cl.guards["vm-3"] = NewGuard("vm-3", clusterPeers{cl}, Options{Now: time.Now, Start: time.Now(), Log: zap.NewNop(), Metrics: metrics.NewRegistry()})
	cl.guards["vm-3"].FetchEvidence(t.Context())
	checkRefused(t, cl, "vm-3")
}

// Guards against requests that wait, or fail, because the other VMs can't be asked about a prefix:
// each VM then counts the crashes that it has seen.
func TestPrefixThatCrashesServersIsRefusedWithoutOtherVMs(t *testing.T) {
	cl := newCluster("vm-1", "vm-2")
	cl.disconnected.Store(true)
	for n := range 3 {
		run, _, err := cl.guards["vm-1"].Begin(t.Context(), promptRequest(crashedPart, n), onServer(backend.ID(fmt.Sprint("s", n))))
		if err != nil {
			t.Fatalf("crash %d: %v", n, err)
		}
		cl.guards["vm-1"].End(run, Crashed)
	}
	checkRefused(t, cl, "vm-1")

	// The other VM learns it later, when the crashes are no longer announced.
	time.Sleep(2 * time.Second)
	cl.disconnected.Store(false)
	if cl.guards["vm-2"].HandleExchange("vm-1", nil) != nil {
		t.Fatal("the other VM has a conviction while it can't be reached")
	}
	cl.guards["vm-1"].causes.repeat()
	for until := time.Now().Add(2 * time.Second); cl.guards["vm-2"].HandleExchange("vm-1", nil) == nil && time.Now().Before(until); {
		time.Sleep(time.Millisecond)
	}
	checkRefused(t, cl, "vm-2")
}

// Guards against a wrong conviction that lasts: a run that completes ends it on all VMs.
func TestSuccessEndsConvictionOfPrefixOnAllVMs(t *testing.T) {
	cl := newCluster("vm-1", "vm-2")
	sound, _, err := cl.guards["vm-2"].Begin(t.Context(), promptRequest(crashedPart, 50), onServer("s8"))
	if err != nil {
		t.Fatal(err)
	}
	for n := range 3 {
		run, _, err := cl.guards["vm-1"].Begin(t.Context(), promptRequest(crashedPart, n), onServer(backend.ID(fmt.Sprint("s", n))))
		if err != nil {
			t.Fatalf("crash %d: %v", n, err)
		}
		cl.guards["vm-1"].End(run, Crashed)
	}
	checkRefused(t, cl, "vm-1", "vm-2")
	cl.guards["vm-2"].End(sound, Completed)
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	for _, id := range []vm.ID{"vm-2", "vm-1"} {
		for {
			_, _, err := cl.guards[id].Begin(ctx, promptRequest(crashedPart, 60), onServer("s9"))
			if err == nil {
				break
			}
			if ctx.Err() != nil {
				t.Fatalf("%s: %v", id, err)
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
}

// Guards against prefixes of different scopes that count as one, and against a number of prefixes
// that grows with the prompt.
func TestPromptParts(t *testing.T) {
	prompt := strings.Repeat("0123456789abcdef", 1<<17)
	parts := promptParts("a", prompt)
	if len(parts) > maxParts {
		t.Errorf("%d parts, want at most %d", len(parts), maxParts)
	}
	if promptParts("b", prompt)[0] == parts[0] {
		t.Error("prompts of different scopes share a part")
	}
	for _, shared := range []int{300, 1000, 5000, 100_000, 1 << 20} {
		other := promptParts("a", prompt[:shared]+"x"+prompt[shared:])
		n := 0
		for n < len(other) && other[n] == parts[n] {
			n++
		}
		length := 0
		for i, end := 0, minPartBytes; i < n; i, end = i+1, end+max(minPartBytes, end/partGrowth) {
			length = end
		}
		if length < min(shared*8/9, shared-minPartBytes) || length > shared {
			t.Errorf("prompts that share %d bytes share a part of %d", shared, length)
		}
	}
}

// BenchmarkRunWithPrompt measures the overhead of the guard for a model request with a prompt of
// 32 KB, without crashes.
func BenchmarkRunWithPrompt(b *testing.B) {
	body := []byte(strings.Repeat("winding data ", 32<<10/13))
	prompt := string(body)
	g := newCluster("vm-1", "vm-2").guards["vm-1"]
	choose := onServer("s1")
	for b.Loop() {
		r := RunRequest{
			Account: "a", Content: func() Content { return Content{} },
			Traits: sync.OnceValue(func() crashcause.Traits { return NewTraits("a/m", prompt, body) }),
		}
		run, _, err := g.Begin(context.Background(), r, choose)
		if err != nil {
			b.Fatal(err)
		}
		g.End(run, Completed)
	}
}
