package cli

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const lossLog = `time=2026-01-01T00:00:10.000000000Z level=info event=request_done request_id=a route=check status=200 verdict=ran total=0.1 shared_tokens=500 cached=0 fetched=0 prefix=p weights=1
time=2026-01-01T00:00:12.000000000Z level=info event=request_done request_id=b route=check status=200 verdict=ran total=0.1 shared_tokens=500 cached=0 fetched=100 prefix=p weights=1
time=2026-01-01T00:00:32.000000000Z level=info event=request_done request_id=c route=check status=200 verdict=ran total=0.1 shared_tokens=500 cached=200 fetched=0 prefix=p weights=1
time=2026-01-01T00:00:32.100000000Z level=info event=request_done request_id=d route=check status=200 verdict=ran total=0.1 shared_tokens=500 cached=0 fetched=0 prefix=p weights=2
time=2026-01-01T00:00:33.000000000Z level=info event=request_done request_id=e route=check status=503 verdict=not_run reason=engines_full running=8 backlog=3000 total=0.01
time=2026-01-01T00:00:33.500000000Z level=info event=request_done request_id=f route=check status=503 verdict=not_run reason=engines_full running=4 backlog=1000 total=0.01
time=2026-01-01T00:00:34.000000000Z level=info event=request_done request_id=g route=book status=502 verdict=may_have_run reason=answer_lost total=0.4
time=2026-01-01T00:00:35.000000000Z level=info event=request_done request_id=h route=check status=200 verdict=may_have_run reason=stream_cut total=0.4
time=2026-01-01T00:00:35.000000000Z level=info event=server_known server=i-1 gone=true
`

func TestLosses(t *testing.T) {
	path := filepath.Join(t.TempDir(), "vm-a.log")
	if err := os.WriteFile(path, []byte(lossLog), 0o600); err != nil {
		t.Fatal(err)
	}
	run := func(args ...string) (string, int) {
		var out, errs bytes.Buffer
		code := Run(context.Background(), append([]string{"losses"}, args...), &out, &errs)
		return strings.Join(strings.Fields(out.String()), " ") + errs.String(), code
	}
	got, code := run(path)
	for _, want := range []string{
		"4 0.5000 served - check",
		"2 0.2500 refused engines_full check - 0.01 - - 6 2e+03",
		"1 0.1250 failed answer_lost book",
		"1 0.1250 cut stream_cut check",
		// 500 shared tokens each: two first prefills, 400 tokens prefilled again
		// within 10 s of the last use, 300 prefilled again later.
		"check 4 200 100 1000 400 300",
	} {
		if code != ExitOK || !strings.Contains(got, want) {
			t.Errorf("exit code %d, printed\n%s\nwhich lacks %q", code, got, want)
		}
	}
	if got, _ := run("-by", "second", "-most", "1", path); !strings.Contains(got, "2 0.2500 22 ") && !strings.Contains(got, "2 0.2500 23 ") || strings.Contains(got, "answer_lost") {
		t.Errorf("by second: %s", got)
	}
	if got, code := run("-by", "weather", path); code != ExitUsage || !strings.Contains(got, `"weather"`) {
		t.Errorf("unknown group: exit code %d, %s", code, got)
	}
	if _, code := run(); code != ExitUsage {
		t.Errorf("no files: exit code %d", code)
	}
}
