package dispatch

import (
	"bytes"
	"encoding/json"

	"github.com/pkg/errors"
)

// engineFields holds the fields that the router sets in an engine request. They
// replace the caller's values.
type engineFields struct {
	CacheSalt  string
	Hints      Hints
	ResumeFrom int
	Stream     bool
}

// routerFields lists the JSON names of the fields that the router sets.
var routerFields = [][]byte{
	[]byte("cache_salt"), []byte("priority"), []byte("resume_from"), []byte("stream_options"),
	[]byte("kv_import"),
}

// escapePrefixes are the prefixes of the JSON escapes of all characters that
// occur in routerFields.
var escapePrefixes = [][]byte{[]byte(`\u005`), []byte(`\u006`), []byte(`\u007`)}

// streamOptions is the stream_options field of a streamed request.
type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// routerFieldValues is the JSON form of engineFields.
type routerFieldValues struct {
	CacheSalt     string         `json:"cache_salt"`
	Priority      int            `json:"priority"`
	KVImport      bool           `json:"kv_import,omitempty"`
	ResumeFrom    int            `json:"resume_from,omitempty"`
	StreamOptions *streamOptions `json:"stream_options,omitempty"`
}

// mayContainRouterFields reports whether a JSON body may contain one of
// routerFields. A false result is definite and saves parsing most bodies.
func mayContainRouterFields(body []byte) bool {
	for _, name := range routerFields {
		if bytes.Contains(body, name) {
			return true
		}
	}
	for _, escape := range escapePrefixes {
		if bytes.Contains(body, escape) {
			return true
		}
	}
	return false
}

// requestsUsage reports whether the caller asked for token usage in its stream.
func requestsUsage(body []byte) bool {
	if !mayContainRouterFields(body) {
		return false
	}
	var req struct {
		StreamOptions streamOptions `json:"stream_options"`
	}
	return json.Unmarshal(body, &req) == nil && req.StreamOptions.IncludeUsage
}

// engineBody returns the JSON body with the router's fields set. The body must
// be valid JSON.
func engineBody(body []byte, f engineFields) ([]byte, error) {
	a := routerFieldValues{CacheSalt: f.CacheSalt, Priority: f.Hints.Priority, KVImport: f.Hints.ImportKV, ResumeFrom: f.ResumeFrom}
	if f.Stream {
		a.StreamOptions = &streamOptions{IncludeUsage: true}
	}
	fields, err := json.Marshal(a)
	if err != nil {
		return nil, errors.Wrap(err, "router fields")
	}
	body = bytes.TrimSpace(body)
	if len(body) < 2 || body[0] != '{' || body[len(body)-1] != '}' {
		return nil, errors.New("request body is not an object")
	}
	if mayContainRouterFields(body) {
		if body, err = withoutRouterFields(body); err != nil {
			return nil, err
		}
	}
	return joinObjects(body, fields), nil
}

// withoutRouterFields returns the JSON object with routerFields removed.
func withoutRouterFields(body []byte) ([]byte, error) {
	var object map[string]json.RawMessage
	if err := json.Unmarshal(body, &object); err != nil {
		return nil, errors.Wrap(err, "request body")
	}
	for _, name := range routerFields {
		delete(object, string(name))
	}
	out, err := json.Marshal(object)
	return out, errors.Wrap(err, "request body")
}

// joinObjects returns a JSON object with the fields of a followed by those of
// b. b has at least one field; neither argument has surrounding white space.
func joinObjects(a, b []byte) []byte {
	inner := bytes.TrimSpace(a[1 : len(a)-1])
	out := make([]byte, 0, len(inner)+len(b)+1)
	out = append(out, '{')
	if len(inner) > 0 {
		out = append(out, inner...)
		out = append(out, ',')
	}
	return append(out, b[1:]...)
}
