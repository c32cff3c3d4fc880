package cli

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Scripts depend on the exit codes and on findings with the operator's names of fields.
func TestCheckConfiguration(t *testing.T) {
	const good = `{"version":1,"routes":[{"name":"r","host":"h","prefix":"/","type":"idempotent","timeout_ms":900,"target_latency_ms":100,"service":"s"}],"services":[{"name":"s"}]}`
	dir := t.TempDir()
	file := func(name, old, new string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(strings.Replace(good, old, new, 1)), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	clean, late := file("clean", "", ""), file("late", "900", "90")
	wrongType, syntax, refused := file("type", "900", `"900"`), file("syntax", "}", ""), file("refused", `"version":1`, `"version":0`)
	for _, tt := range []struct {
		args   []string
		want   int
		output string
	}{
		{[]string{clean}, ExitOK, "no findings"},
		{[]string{late}, ExitNotRun, "contradiction: routes[0].timeout_ms:"},
		{[]string{late, "-output", "json"}, ExitNotRun, `"path": "routes[0].timeout_ms"`},
		{[]string{wrongType}, ExitNotRun, "error: routes.timeout_ms: string instead of float64"},
		{[]string{refused}, ExitNotRun, "configuration version 0"},
		{[]string{late, "-against", clean}, ExitNotRun, "timeout_ms: 900ms -> 90ms"},
		{[]string{"-against", late, "-output", "json", clean}, ExitOK, `"after": "900ms"`},
		{[]string{syntax}, ExitUsage, "not JSON"},
		{[]string{clean, "-against", refused}, ExitUsage, "configuration version 0"},
		{[]string{filepath.Join(dir, "none")}, ExitUsage, "no such file"},
		{nil, ExitUsage, "one FILE"},
		{[]string{clean, late}, ExitUsage, "one FILE"},
		{[]string{clean, "-output", "xml"}, ExitUsage, "text or json"},
	} {
		var out bytes.Buffer
		if got := Run(context.Background(), append([]string{"check"}, tt.args...), &out, &out); got != tt.want || !strings.Contains(out.String(), tt.output) {
			t.Errorf("%v: exit code %d, want %d with %q:\n%s", tt.args, got, tt.want, tt.output, out.String())
		}
	}
}
