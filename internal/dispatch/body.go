package dispatch

import (
	"bytes"
	"encoding/json"

	"github.com/pkg/errors"
)

// engineFields are the fields of an engine request that the router sets. The
// caller's own values are replaced.
type engineFields struct {
	CacheSalt  string
	Hints      Hints
	ResumeFrom int
	Stream     bool
}

// routerFields are the names of these fields.
var routerFields = [][]byte{
	[]byte("cache_salt"), []byte("priority"), []byte("resume_from"), []byte("stream_options"),
	[]byte("kv_import"),
}

// asciiEscapes begin the escapes of the characters that the names consist of.
var asciiEscapes = [][]byte{[]byte(`\u005`), []byte(`\u006`), []byte(`\u007`)}

// streamOptions is the field of this name of a streamed request.
type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// added are the router's fields in their wire form.
type added struct {
	CacheSalt     string         `json:"cache_salt"`
	Priority      int            `json:"priority"`
	KVImport      bool           `json:"kv_import,omitempty"`
	ResumeFrom    int            `json:"resume_from,omitempty"`
	StreamOptions *streamOptions `json:"stream_options,omitempty"`
}

// mayHoldRouterFields reports whether a JSON body may have a field of the
// router's. It is false only if none of the names can stand in the body, which
// spares the parsing of most bodies.
func mayHoldRouterFields(body []byte) bool {
	for _, name := range routerFields {
		if bytes.Contains(body, name) {
			return true
		}
	}
	for _, escape := range asciiEscapes {
		if bytes.Contains(body, escape) {
			return true
		}
	}
	return false
}

// asksForUsage reports whether the caller wants the usage of its stream.
func asksForUsage(body []byte) bool {
	if !mayHoldRouterFields(body) {
		return false
	}
	var req struct {
		StreamOptions streamOptions `json:"stream_options"`
	}
	return json.Unmarshal(body, &req) == nil && req.StreamOptions.IncludeUsage
}

// engineBody returns a valid JSON body with the router's fields.
func engineBody(body []byte, f engineFields) ([]byte, error) {
	a := added{CacheSalt: f.CacheSalt, Priority: f.Hints.Priority, KVImport: f.Hints.ImportKV, ResumeFrom: f.ResumeFrom}
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
	if mayHoldRouterFields(body) {
		if body, err = withoutRouterFields(body); err != nil {
			return nil, err
		}
	}
	return joinObjects(body, fields), nil
}

// withoutRouterFields returns the object without the router's fields.
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

// joinObjects returns the object with the fields of a and then those of b,
// which is not empty. Neither has space around it.
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
