package settings

import (
	"os"
	"strings"
	"testing"

	"github.com/pkg/errors"
)

const exampleFile = "../../examples/papayaspand.jsonc"

func TestExampleFile(t *testing.T) {
	if _, err := Load(exampleFile); err != nil {
		t.Fatal(err)
	}
}

func TestParseReportsEveryProblem(t *testing.T) {
	tests := []struct {
		desc string
		text string
		want []string
	}{
		{"syntax", `{"vm": `, []string{"s:0: -: "}},
		{"wrong type", "{\n\"limits\": {\"max_json_depth\": \"x\"}}", []string{"s:2: limits.max_json_depth: has type string, want int"}},
		{"several", `{
			"vm": {"id": "a", "failure_domian": "x"},
			"listen": {"caller": "nowhere", "peer": "10.0.0.1:1", "admin": "127.0.0.1:2"},
			"limits": {
				"max_json_depth": 1,
				"write_timeout": "1ms",
			},
		}`, []string{
			"s:2: vm.failure_domian: unknown field",
			"s:2: vm.failure_domain: is required",
			"s:3: listen.caller: \"nowhere\" is not an address",
			"s:3: listen.peer: needs peer_tls",
			"s:5: limits.max_json_depth: 1 is out of range: min 4",
			"s:6: limits.write_timeout: 1ms is out of range: min 100ms",
			"platform.url: is required",
		}},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			_, err := Parse("s", []byte(tt.text))
			var settingsErr *Error
			if !errors.As(err, &settingsErr) {
				t.Fatalf("Parse = %v, want *Error", err)
			}
			for _, w := range tt.want {
				if !strings.Contains(settingsErr.Error(), w) {
					t.Errorf("no %q in:\n%s", w, settingsErr)
				}
			}
		})
	}
}

func FuzzParse(f *testing.F) {
	example, err := os.ReadFile(exampleFile)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(example)
	f.Add([]byte(`{"vm":[],"limits":{"x":{}}}`))
	f.Add([]byte(`{"operators":[{"name":1}],"vm":null}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := Parse("s", data)
		if (s == nil) == (err == nil) {
			t.Fatalf("settings %v and error %v", s, err)
		}
	})
}
