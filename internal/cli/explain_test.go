package cli

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// The clock of vm-b is 700 ms ahead.
const (
	logA = `time=2026-01-01T00:00:08.000000000Z level=info event=catalog_in_force version=3 source=store
time=2026-01-01T00:00:09.500000000Z level=warn event=store_lost feed=servers error="read: connection timed out"
time=2026-01-01T00:00:10.100000000Z level=info event=request_done request_id=other server=i-1 status=200 total=0.1
time=2026-01-01T00:00:10.400000000Z level=warn event=attempt_failed request_id=r1 server=i-1 failure=answer_lost sent=true
time=2026-01-01T00:00:10.500000000Z level=info event=request_done request_id=r1 server=i-2 status=502 total=0.500000000 reason=answer_lost
goroutine 1 [running]:
`
	logB = `time=2026-01-01T00:00:02.000000000Z level=info event=server_known server=i-1 gone=false
time=2026-01-01T00:00:11.000000000Z level=info event=server_known server=i-1 gone=true
time=2026-01-01T00:00:11.000000000Z level=info event=server_known server=i-9 gone=true
time=2026-01-01T00:00:11.000000000Z level=warn event=store_lost feed=servers
`
)

func TestExplain(t *testing.T) {
	dir := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	a, b := write("vm-a.log", logA), write("vm-b.log", logB)
	var out, errs bytes.Buffer
	if code := Run(context.Background(), []string{"explain", "-id", "r1", a, b}, &out, &errs); code != ExitOK {
		t.Fatalf("exit code %d: %s", code, errs.String())
	}
	want := []string{
		"  -2.000s vm-a event=catalog_in_force version=3 source=store",
		`  -0.500s vm-a event=store_lost feed=servers error="read: connection timed out"`,
		"  +0.400s vm-a event=attempt_failed request_id=r1 server=i-1 failure=answer_lost sent=true",
		"  +0.500s vm-a event=request_done request_id=r1 server=i-2 status=502 total=0.500000000 reason=answer_lost",
		"  +1.000s vm-b event=server_known server=i-1 gone=true",
	}
	if got := strings.TrimRight(out.String(), "\n"); got != strings.Join(want, "\n") {
		t.Errorf("printed\n%s\nwant\n%s", got, strings.Join(want, "\n"))
	}
	for _, args := range [][]string{{"explain", "-id", "r1"}, {"explain", a}, {"explain", "-id", "r1", filepath.Join(dir, "none")}} {
		if code := Run(context.Background(), args, &out, &errs); code != ExitUsage {
			t.Errorf("%v: exit code %d", args, code)
		}
	}
	if code := Run(context.Background(), []string{"explain", "-id", "nobody", a}, &out, &errs); code != ExitNotRun {
		t.Errorf("exit code %d for an unknown request", code)
	}
}

// explainRequest returns what explain prints for the request r1 on the logs, by VM.
func explainRequest(t *testing.T, logs map[string]string) string {
	t.Helper()
	dir := t.TempDir()
	args := []string{"explain", "-id", "r1"}
	for vm, text := range logs {
		path := filepath.Join(dir, vm+".log")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		args = append(args, path)
	}
	var out, errs bytes.Buffer
	if code := Run(context.Background(), args, &out, &errs); code != ExitOK {
		t.Fatalf("exit code %d: %s", code, errs.String())
	}
	return out.String()
}

func TestExplainShowsTheBackoffsBehindARefusal(t *testing.T) {
	const (
		own = `time=2026-01-01T00:00:01.000000000Z level=info event=server_backs_off request_id=r0 server=i-1 asked=20 left=20
time=2026-01-01T00:00:02.000000000Z level=info event=server_backs_off request_id=r0 server=i-2 asked=5 left=5
time=2026-01-01T00:00:03.000000000Z level=info event=server_asked_through_tunnel server=i-3 backoff=12 leaves=false
time=2026-01-01T00:00:10.000000000Z level=info event=request_done request_id=r1 status=503 total=0.0 reason=servers_back_off
time=2026-01-01T00:00:11.000000000Z level=info event=server_backs_off request_id=r2 server=i-2 asked=5 left=5
`
		other = `time=2026-01-01T00:00:09.000000000Z level=info event=server_backs_off request_id=r9 server=i-4 asked=9 left=9
`
	)
	want := `  -9.000s vm-a event=server_backs_off request_id=r0 server=i-1 asked=20 left=20
  -7.000s vm-a event=server_asked_through_tunnel server=i-3 backoff=12 leaves=false
  +0.000s vm-a event=request_done request_id=r1 status=503 total=0.0 reason=servers_back_off
`
	if got := explainRequest(t, map[string]string{"vm-a": own, "vm-b": other}); got != want {
		t.Errorf("printed\n%s\nwant\n%s", got, want)
	}
}

func TestExplainShowsThatServersOfTheRequestLeaveOrBackOff(t *testing.T) {
	const (
		own = `time=2026-01-01T00:00:01.000000000Z level=info event=server_backs_off request_id=r0 server=i-1 asked=20 left=20
time=2026-01-01T00:00:02.000000000Z level=info event=server_backs_off request_id=r0 server=i-9 asked=20 left=20
time=2026-01-01T00:00:10.000000000Z level=warn event=attempt_failed request_id=r1 server=i-2 failure=server_left sent=false
time=2026-01-01T00:00:10.100000000Z level=info event=request_done request_id=r1 server=i-1 status=200 total=0.2
`
		other = `time=2026-01-01T00:00:03.000000000Z level=info event=server_says_leaving request_id=r8 server=i-2 server_started=7
time=2026-01-01T00:00:04.000000000Z level=info event=server_says_leaving request_id=r8 server=i-9 server_started=7
time=2026-01-01T00:00:05.000000000Z level=info event=server_backs_off request_id=r8 server=i-1 asked=20 left=20
time=2026-01-01T00:01:05.000000000Z level=info event=server_says_leaving request_id=r8 server=i-1 server_started=7
`
	)
	want := `  -8.900s vm-a event=server_backs_off request_id=r0 server=i-1 asked=20 left=20
  -6.900s vm-b event=server_says_leaving request_id=r8 server=i-2 server_started=7
  +0.100s vm-a event=attempt_failed request_id=r1 server=i-2 failure=server_left sent=false
  +0.200s vm-a event=request_done request_id=r1 server=i-1 status=200 total=0.2
`
	if got := explainRequest(t, map[string]string{"vm-a": own, "vm-b": other}); got != want {
		t.Errorf("printed\n%s\nwant\n%s", got, want)
	}
}

func TestExplainShowsTheCrashesBehindARefusal(t *testing.T) {
	const log = `time=2026-01-01T00:00:01.000000000Z level=warn event=server_crashed server=i-1 contents=c1 parts=aa,bb
time=2026-01-01T00:00:01.000000000Z level=warn event=server_crashed server=i-2 contents=c2 parts=cc
time=2026-01-01T00:00:02.000000000Z level=warn event=crash_cause_found crash_cause=bb kind=part crashed=i-1
time=2026-01-01T00:00:02.000000000Z level=warn event=crash_cause_found crash_cause=dd kind=part crashed=i-1
time=2026-01-01T01:00:00.000000000Z level=info event=request_done request_id=r1 status=503 total=0.0 reason=crashes_servers crash_cause=bb
`
	want := `-3599.000s vm-a event=server_crashed server=i-1 contents=c1 parts=aa,bb
-3598.000s vm-a event=crash_cause_found crash_cause=bb kind=part crashed=i-1
  +0.000s vm-a event=request_done request_id=r1 status=503 total=0.0 reason=crashes_servers crash_cause=bb
`
	if got := explainRequest(t, map[string]string{"vm-a": log}); got != want {
		t.Errorf("printed\n%s\nwant\n%s", got, want)
	}
}

// The lines about a service's roll-out must be found in the logs of all VMs, without those of others.
func TestExplainRollouts(t *testing.T) {
	const log = `time=2026-01-01T00:00:09.000000000Z level=info event=server_rollout_decision service=app phase=rolled_back samples=40 reason="route read: 9 of 40 answers failed"
time=2026-01-01T00:00:08.000000000Z level=info event=server_rollout_stage service=app stage=1
time=2026-01-01T00:00:08.000000000Z level=info event=server_rollout_stage service=llm stage=1
time=2026-01-01T00:00:08.500000000Z level=info event=server_known service=app
`
	path := filepath.Join(t.TempDir(), "vm-a.log")
	if err := os.WriteFile(path, []byte(log), 0o600); err != nil {
		t.Fatal(err)
	}
	var out, errs bytes.Buffer
	if code := Run(context.Background(), []string{"explain", "-service", "app", path}, &out, &errs); code != ExitOK {
		t.Fatalf("exit code %d: %s", code, errs.String())
	}
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	if len(lines) != 2 || !strings.Contains(lines[0], "stage=1") || !strings.Contains(lines[1], "samples=40") {
		t.Errorf("printed %q", lines)
	}
}
