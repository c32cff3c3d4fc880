package dispatch

import (
	"bytes"
	"encoding/json"
	"reflect"
	"testing"
)

// FuzzEngineBody checks that the engine receives the caller's fields unchanged
// and each of the router's fields exactly once, with the router's value.
func FuzzEngineBody(f *testing.F) {
	f.Add([]byte(`{"model":"m","prompt":"p"}`))
	f.Add([]byte(` { } `))
	f.Add([]byte(`{"cache_salt":"mine","cache_salt":"again","priority":-1,"resume_from":9,"x":1}`))
	f.Add([]byte(`{"\u0063ache_salt":"mine","prompt":"\u00e9\\u0063"}`))
	f.Add([]byte(`{"prompt":"cache_salt } ] ,","stream_options":{"include_usage":true}}`))
	f.Add([]byte(`null`))
	f.Fuzz(func(t *testing.T, body []byte) {
		var want map[string]any
		if json.Unmarshal(body, &want) != nil || want == nil {
			return
		}
		out, err := engineBody(body, engineFields{CacheSalt: "salt", Hints: Hints{Priority: 3}, ResumeFrom: 7})
		if err != nil {
			t.Fatalf("%q: %v", body, err)
		}
		for _, name := range routerFields {
			delete(want, string(name))
		}
		want["cache_salt"], want["priority"], want["resume_from"] = "salt", 3.0, 7.0
		var got map[string]any
		if err := json.Unmarshal(out, &got); err != nil || !reflect.DeepEqual(got, want) {
			t.Fatalf("%q became %q: %v", body, out, err)
		}
		if n := countField(t, out, "cache_salt"); n != 1 {
			t.Fatalf("%d cache_salt fields in %q", n, out)
		}
	})
}

// countField counts how often the JSON object has a field of this name,
// duplicates included.
func countField(t *testing.T, object []byte, name string) int {
	dec := json.NewDecoder(bytes.NewReader(object))
	if _, err := dec.Token(); err != nil {
		t.Fatal(err)
	}
	n := 0
	for dec.More() {
		key, err := dec.Token()
		if err != nil {
			t.Fatal(err)
		}
		if key == name {
			n++
		}
		var value json.RawMessage
		if err := dec.Decode(&value); err != nil {
			t.Fatal(err)
		}
	}
	return n
}
