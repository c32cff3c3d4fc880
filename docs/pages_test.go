// Package docs checks that the links, commands, names and settings in the documentation exist.
package docs

import (
	"bytes"
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"papayaspan.dev/papayaspan/internal/cli"
	"papayaspan.dev/papayaspan/internal/settings"
)

// pages returns the documentation pages by their path relative to this directory.
func pages(t *testing.T) map[string]string {
	t.Helper()
	out := map[string]string{}
	for _, pattern := range []string{"../*.md", "*.md"} {
		files, err := filepath.Glob(pattern)
		if err != nil {
			t.Fatal(err)
		}
		for _, f := range files {
			data, err := os.ReadFile(f)
			if err != nil {
				t.Fatal(err)
			}
			out[f] = string(data)
		}
	}
	return out
}

var (
	linkPattern    = regexp.MustCompile(`\]\(([^)#:]+)\)`)
	commandPattern = regexp.MustCompile(`(?m)(?:go run \./cmd/papayaspan|^\$ papayaspan|` + "`" + `papayaspan) ([a-z][a-z-]+)([^\n` + "`" + `]*)`)
	flagPattern    = regexp.MustCompile(`\s-([a-z][a-z-]+)`)
	testPattern    = regexp.MustCompile(`\b(?:Test|Benchmark|Fuzz)[A-Z][A-Za-z0-9_]+`)
	scriptPattern  = regexp.MustCompile(`\b([a-z-]+\.txtar)\b`)
	metricPattern  = regexp.MustCompile("`((?:router|budget|admission|claim|control|dispatch|poison|route|order|placement)\\.[a-z_]+)`")
	settingPattern = regexp.MustCompile("`((?:vm|listen|advertise|platform|limits|routing|peer_tls|caller_tls|log)\\.[a-z_]+)`")
	eventPattern   = regexp.MustCompile(`event=([a-z_]+)`)
)

func TestLinksLeadSomewhere(t *testing.T) {
	for page, text := range pages(t) {
		for _, m := range linkPattern.FindAllStringSubmatch(text, -1) {
			if _, err := os.Stat(filepath.Join(filepath.Dir(page), m[1])); err != nil {
				t.Errorf("%s: %v", page, err)
			}
		}
	}
}

func TestCommandsAndFlagsExist(t *testing.T) {
	for page, text := range pages(t) {
		for _, m := range commandPattern.FindAllStringSubmatch(text, -1) {
			var out, errs bytes.Buffer
			cli.Run(context.Background(), []string{"help", m[1]}, &out, &errs)
			help := out.String() + errs.String()
			if strings.Contains(help, "not understood") || help == "" {
				t.Errorf("%s: no command %q", page, m[1])
				continue
			}
			for _, f := range flagPattern.FindAllStringSubmatch(m[2], -1) {
				if !strings.Contains(help, "  -"+f[1]) {
					t.Errorf("%s: command %q has no flag -%s:\n%s", page, m[1], f[1], help)
				}
			}
		}
	}
}

// source returns the contents of the project's test files, or of its other Go files.
func source(t *testing.T, tests bool) string {
	t.Helper()
	var b strings.Builder
	err := filepath.WalkDir("..", func(path string, d os.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") != tests {
			return err
		}
		data, err := os.ReadFile(path)
		b.Write(data)
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	return b.String()
}

func TestNamesOnThePagesExist(t *testing.T) {
	code, tests := source(t, false), source(t, true)
	for page, text := range pages(t) {
		for _, name := range testPattern.FindAllString(text, -1) {
			if !strings.Contains(tests, "func "+name+"(") {
				t.Errorf("%s: no test %s", page, name)
			}
		}
		for _, m := range metricPattern.FindAllStringSubmatch(text, -1) {
			if !strings.HasSuffix(m[1], ".txtar") && !strings.Contains(code, `"`+m[1]+`"`) {
				t.Errorf("%s: no metric %s", page, m[1])
			}
		}
		for _, m := range eventPattern.FindAllStringSubmatch(text, -1) {
			if !strings.Contains(code, `"`+m[1]+`"`) {
				t.Errorf("%s: no log event %s", page, m[1])
			}
		}
		for _, m := range scriptPattern.FindAllStringSubmatch(text, -1) {
			if m[1] == "-.txtar" {
				continue
			}
			if _, err := os.Stat(filepath.Join("../scenario/testdata", m[1])); err != nil {
				t.Errorf("%s: %v", page, err)
			}
		}
	}
}

func TestSettingsOnThePagesExist(t *testing.T) {
	for page, text := range pages(t) {
		for _, m := range settingPattern.FindAllStringSubmatch(text, -1) {
			group, field, _ := strings.Cut(m[1], ".")
			_, err := settings.Parse("s", []byte(`{"`+group+`": {"`+field+`": null}}`))
			if err != nil && strings.Contains(err.Error(), "unknown field") {
				t.Errorf("%s: no setting %s", page, m[1])
			}
		}
	}
}

func TestExamplesAreValid(t *testing.T) {
	data, err := os.ReadFile("../examples/ticket.jsonc")
	if err != nil {
		t.Fatal(err)
	}
	if _, err := cli.ReadTicket(data); err != nil {
		t.Error(err)
	}
}

// New users start with the two commands in the README.
func TestReadmeCommandsBuild(t *testing.T) {
	text := pages(t)["../README.md"]
	for _, command := range []string{"go run ./cmd/papayaspan-demo", "go test -race ./..."} {
		if !strings.Contains(text, "\n"+command+"\n") {
			t.Errorf("README lacks %q", command)
		}
	}
	build := exec.Command("go", "build", "-o", t.TempDir(), "./cmd/...")
	build.Dir = ".."
	if out, err := build.CombinedOutput(); err != nil {
		t.Errorf("%v\n%s", err, out)
	}
}
