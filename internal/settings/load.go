package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"reflect"
	"strings"

	"github.com/go-playground/validator/v10"
	"github.com/pkg/errors"
	"github.com/tailscale/hujson"
)

// Problem is one error in a settings file.
type Problem struct {
	File string
	// Line counts from 1; 0 means the whole file.
	Line int
	// Field is the path of the field, for example "limits.max_body_bytes".
	Field  string
	Reason string
}

// String returns "file:line: field: reason".
func (p Problem) String() string {
	return fmt.Sprintf("%s:%d: %s: %s", p.File, p.Line, p.Field, p.Reason)
}

// Error holds every problem of a settings file.
type Error struct{ Problems []Problem }

// Error returns the problems, one per line.
func (e *Error) Error() string {
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

// Load reads and validates a settings file. Problems of the content are
// returned together in an *Error.
func Load(file string) (*Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "read settings")
	}
	return Parse(file, data)
}

// Parse validates the content of a settings file. The file name is used in
// problems only.
func Parse(file string, data []byte) (*Settings, error) {
	value, err := hujson.Parse(data)
	if err != nil {
		return nil, &Error{[]Problem{{File: file, Field: "-", Reason: err.Error()}}}
	}
	doc := document{file: file, data: data, value: value}
	problems := doc.unknownFields(value, "", reflect.TypeFor[Settings]())
	s := Default()
	standard := value.Clone()
	standard.Standardize()
	if err := json.Unmarshal(standard.Pack(), &s); err != nil {
		problems = append(problems, doc.decodeProblem(err))
	} else {
		problems = append(problems, doc.invalidFields(&s)...)
	}
	if len(problems) > 0 {
		return nil, &Error{problems}
	}
	return &s, nil
}

type document struct {
	file  string
	data  []byte
	value hujson.Value
}

func (d document) problem(offset int, field, reason string) Problem {
	line := 1 + bytes.Count(d.data[:min(offset, len(d.data))], []byte("\n"))
	return Problem{File: d.file, Line: line, Field: field, Reason: reason}
}

// unknownFields walks the document along with the Go type and returns the members
// that the type lacks.
func (d document) unknownFields(v hujson.Value, path string, t reflect.Type) []Problem {
	var out []Problem
	switch x := v.Value.(type) {
	case *hujson.Object:
		if t.Kind() != reflect.Struct {
			return nil
		}
		for _, m := range x.Members {
			name := m.Name.Value.(hujson.Literal).String()
			field, ok := fieldByTag(t, name)
			memberPath := join(path, name)
			if !ok {
				out = append(out, d.problem(m.Name.StartOffset, memberPath, "unknown field"))
				continue
			}
			out = append(out, d.unknownFields(m.Value, memberPath, field.Type)...)
		}
	case *hujson.Array:
		if t.Kind() != reflect.Slice {
			return nil
		}
		for i, el := range x.Elements {
			out = append(out, d.unknownFields(el, join(path, fmt.Sprint(i)), t.Elem())...)
		}
	}
	return out
}

func fieldByTag(t reflect.Type, name string) (reflect.StructField, bool) {
	for i := range t.NumField() {
		if f := t.Field(i); tagName(f) == name {
			return f, true
		}
	}
	return reflect.StructField{}, false
}

func tagName(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
	return name
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func (d document) decodeProblem(err error) Problem {
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) {
		return d.problem(d.offset(typeErr.Field), typeErr.Field, fmt.Sprintf("has type %s, want %s", typeErr.Value, typeErr.Type))
	}
	return Problem{File: d.file, Line: 1, Field: "-", Reason: err.Error()}
}

// offset returns the offset of the field's value, or of the nearest enclosing
// object if the field is absent.
func (d document) offset(field string) int {
	for path := field; path != ""; {
		if v := d.value.Find("/" + strings.ReplaceAll(path, ".", "/")); v != nil {
			return v.StartOffset
		}
		i := strings.LastIndexByte(path, '.')
		path = path[:max(i, 0)]
	}
	return d.value.StartOffset
}

func (d document) invalidFields(s *Settings) []Problem {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(tagName)
	var out []Problem
	var fieldErrors validator.ValidationErrors
	if errors.As(v.Struct(s), &fieldErrors) {
		for _, f := range fieldErrors {
			field := strings.NewReplacer("[", ".", "]", "").Replace(strings.TrimPrefix(f.Namespace(), "Settings."))
			out = append(out, d.problem(d.offset(field), field, violation(f)))
		}
	}
	if s.PeerTLS.CertFile == "" && !isLoopback(s.Listen.Peer) {
		out = append(out, d.problem(d.offset("listen.peer"), "listen.peer", "needs peer_tls unless it is a loopback address"))
	}
	return out
}

func isLoopback(hostPort string) bool {
	host, _, err := net.SplitHostPort(hostPort)
	if err != nil {
		return true // Already reported as a malformed address.
	}
	ip := net.ParseIP(host)
	return ip != nil && ip.IsLoopback()
}

// violation describes a value that breaks one of the validator's rules.
func violation(f validator.FieldError) string {
	d, isDuration := f.Value().(Duration)
	switch f.Tag() {
	case "required", "required_with":
		return "is required"
	case "min", "max":
		param := f.Param()
		if isDuration {
			return fmt.Sprintf("%s is out of range: %s %s", d.Std(), f.Tag(), formatNanoseconds(param))
		}
		return fmt.Sprintf("%v is out of range: %s %s", f.Value(), f.Tag(), param)
	case "oneof":
		return fmt.Sprintf("%q is not one of: %s", f.Value(), f.Param())
	case "hostname_port":
		return fmt.Sprintf("%q is not an address of the form IP:port", f.Value())
	default:
		return fmt.Sprintf("%q does not meet the rule %s %s", f.Value(), f.Tag(), f.Param())
	}
}

func formatNanoseconds(param string) string {
	var n int64
	if _, err := fmt.Sscan(param, &n); err != nil {
		return param
	}
	return Duration(n).Std().String()
}
