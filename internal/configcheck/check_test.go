package configcheck_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"papayaspan.dev/papayaspan/internal/configcheck"
	"papayaspan.dev/papayaspan/platform"
)

const clean = `{"version":1,"routes":[
{"name":"read","host":"h","prefix":"/read/","type":"idempotent","timeout_ms":3000,"target_latency_ms":200,"service":"app","max_attempts":2}],
"services":[{"name":"app"}],
"tenants":[{"name":"a","api_keys":["k1"],"rate_per_s":1},{"name":"b","api_keys":["k2"],"unit":"tokens","uncached_tokens":200,"rate_per_s":100}]}`

var options = configcheck.Options{RetryRatio: 0.2, QuotaWindow: 8 * time.Second}

// Each mistake must be found, at its field, and be the only finding.
func TestFindings(t *testing.T) {
	for _, c := range []struct {
		old, new string
		kind     configcheck.Kind
		path     string
	}{
		{"", "", "", ""},
		{`"max_attempts":2}]`, `"max_attempts":2},{"name":"again","host":"H","prefix":"/read/","timeout_ms":1,"service":"app"}]`, configcheck.Unmatched, "routes[1].prefix"},
		{`"/read/"`, `"read/"`, configcheck.Unmatched, "routes[0].prefix"},
		{`[{"name":"app"}]`, `[{"name":"app"},{"name":"idle"}]`, configcheck.Unmatched, "services[1].name"},
		{`[{"name":"app"}]`, `[{"name":"app"},{"name":"app"}]`, configcheck.Error, "services[1].name"},
		{`"service":"app"`, `"backends":[{"service":"app","weight":1},{"service":"none","weight":1}]`, configcheck.Unmatched, "routes[0].backends"},
		{`"service":"app"`, `"backends":[{"service":"app","weight":0}]`, configcheck.Error, "routes[0].backends"},
		{`"timeout_ms":3000`, `"timeout_ms":0`, configcheck.Error, "routes[0].timeout_ms"},
		{`"timeout_ms":3000`, `"timeout_ms":100`, configcheck.Contradiction, "routes[0].timeout_ms"},
		{`"max_attempts":2`, `"max_attempts":7`, configcheck.Contradiction, "routes[0].max_attempts"},
		{`["k1"]`, `[]`, configcheck.Unmatched, "tenants[0].api_keys"},
		{`["k2"]`, `["k3","k1"]`, configcheck.Unmatched, "tenants[1].api_keys[1]"},
		{`"name":"b"`, `"name":"a"`, configcheck.Error, "tenants[1].name"},
		{`"rate_per_s":1}`, `"rate_per_s":0.1}`, configcheck.Contradiction, "tenants[0].rate_per_s"},
		{`"rate_per_s":100`, `"rate_per_s":10,"burst":100`, configcheck.Contradiction, "tenants[1].rate_per_s"},
		{`"rate_per_s":100`, `"rate_per_s":10,"burst":150`, "", ""},
	} {
		s, err := platform.DecodeConfig([]byte(strings.Replace(clean, c.old, c.new, 1)))
		if err != nil {
			t.Fatal(err)
		}
		var want []string
		if c.kind != "" {
			want = []string{fmt.Sprint(c.kind, " ", c.path)}
		}
		var got []string
		for _, f := range configcheck.Check(s, options) {
			got = append(got, fmt.Sprint(f.Kind, " ", platform.ConfigPath(f.Path)))
		}
		if !slices.Equal(got, want) {
			t.Errorf("%s: found %q, want %q", c.new, got, want)
		}
	}
}

// A comparison names each object that differs and what differs, and shows no digests of keys.
func TestDiff(t *testing.T) {
	before, err := platform.DecodeConfig([]byte(clean))
	if err != nil {
		t.Fatal(err)
	}
	changed := strings.NewReplacer(`"timeout_ms":3000`, `"timeout_ms":2500`, `["k1"]`, `["k9"]`, `[{"name":"app"}]`, `[{"name":"app"},{"name":"new","engine":{"slots":4}}]`, `"name":"b"`, `"name":"c"`).Replace(clean)
	after, err := platform.DecodeConfig([]byte(changed))
	if err != nil {
		t.Fatal(err)
	}
	differences, err := configcheck.Diff(before, after)
	got := fmt.Sprint(differences)
	want := "[{routes read changed [{timeout 3s 2.5s}]} {services new added []} {accounts a changed [{key_hashes  }]} {accounts b removed []} {accounts c added []}]"
	if got != want || err != nil {
		t.Errorf("got %s, %v\nwant %s", got, err, want)
	}
}

// No input may stop the check, and a configuration doesn't differ from itself.
func FuzzCheck(f *testing.F) {
	for _, seed := range []string{
		clean, "", "{}", "[]", `{"version":1,"routes":[{}]}`, `{"version":"1"}`, `{"version":1,"routes":[{"timeout_ms":1e300,"max_attempts":-1}],"services":[{"engine":{"link_mbps":1e308}}]}`,
		`{"version":1,"routes":[{"service":"s","backends":[{"weight":-1}]},{}],"services":[{},{"engine":{}},{"kv_store_addr":"x"}],"tenants":[{},{"api_keys":["",""]}]}`,
	} {
		f.Add([]byte(seed), 0.2)
	}
	f.Fuzz(func(t *testing.T, data []byte, ratio float64) {
		s, err := platform.DecodeConfig(data)
		if err != nil {
			return
		}
		for _, finding := range configcheck.Check(s, configcheck.Options{RetryRatio: ratio, QuotaWindow: time.Second}) {
			if finding.Path == "" || finding.Message == "" {
				t.Errorf("finding %+v", finding)
			}
		}
		if d, err := configcheck.Diff(s, s); len(d) > 0 || err != nil {
			t.Errorf("differs from itself: %v, %v", d, err)
		}
	})
}
