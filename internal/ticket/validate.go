package ticket

import (
	"fmt"
	"net/url"
	"reflect"
	"regexp"
	"strings"

	"github.com/go-playground/validator/v10"
	"github.com/pkg/errors"

	"papayaspan.dev/papayaspan/internal/backend"
	"papayaspan.dev/papayaspan/internal/config"
)

// maxObjects bounds the objects that one ticket may set or remove.
const maxObjects = 100_000

// reservedPrefix is the path prefix of the model interface, which no route may
// use.
const reservedPrefix = "/v1"

// idPattern matches valid object IDs. It allows slashes because model names may
// contain them.
var idPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:/-]{0,127}$`)

var validate = newValidator()

func newValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string {
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		return name
	})
	return v
}

// validateTicket makes the checks that do not depend on the configuration.
func validateTicket(t Ticket) []Problem {
	problems := validateStruct("", t)
	if n := t.size(); n == 0 {
		problems = append(problems, Problem{Reason: "the ticket changes nothing"})
	} else if n > maxObjects {
		problems = append(problems, Problem{Reason: fmt.Sprintf("the ticket touches %d objects, the limit is %d", n, maxObjects)})
	}
	problems = append(problems, validateObjects("account", t.Accounts, accountID)...)
	problems = append(problems, validateObjects("key", t.Keys, keyID)...)
	problems = append(problems, validateObjects("model", t.Models, modelID)...)
	problems = append(problems, validateObjects("route", t.Routes, routeID)...)
	problems = append(problems, validateObjects("server", t.Servers, serverID)...)
	for _, k := range t.Keys.Set {
		if k.Hash != strings.ToLower(k.Hash) {
			problems = append(problems, Problem{objectName("key", k.ID), "hash", "must be in lower case"})
		}
	}
	for _, r := range t.Routes.Set {
		problems = append(problems, validateRoute(r)...)
	}
	for _, s := range t.Servers.Set {
		problems = append(problems, validateServer(s)...)
	}
	return problems
}

func (t Ticket) size() int {
	return len(t.Accounts.Set) + len(t.Accounts.Remove) +
		len(t.Keys.Set) + len(t.Keys.Remove) +
		len(t.Models.Set) + len(t.Models.Remove) +
		len(t.Routes.Set) + len(t.Routes.Remove) +
		len(t.Servers.Set) + len(t.Servers.Remove)
}

func objectName[K ~string](kind string, id K) string {
	return kind + "/" + string(id)
}

func validateObjects[K ~string, V any](kind string, c Changes[K, V], id func(V) K) []Problem {
	var problems []Problem
	seen := map[K]bool{}
	checkUnique := func(k K) {
		if seen[k] {
			problems = append(problems, Problem{Object: objectName(kind, k), Reason: "is named twice in the ticket"})
		}
		seen[k] = true
	}
	for _, v := range c.Set {
		k := id(v)
		checkUnique(k)
		if !idPattern.MatchString(string(k)) {
			problems = append(problems, Problem{Object: objectName(kind, k), Reason: "the ID must match " + idPattern.String()})
		}
		problems = append(problems, validateStruct(objectName(kind, k), v)...)
	}
	for _, k := range c.Remove {
		checkUnique(k)
	}
	return problems
}

func validateStruct(name string, v any) []Problem {
	err := validate.Struct(v)
	if err == nil {
		return nil
	}
	var fields validator.ValidationErrors
	if !errors.As(err, &fields) {
		return []Problem{{Object: name, Reason: err.Error()}}
	}
	var problems []Problem
	for _, f := range fields {
		_, field, _ := strings.Cut(f.Namespace(), ".")
		problems = append(problems, Problem{Object: name, Field: field, Reason: describeFieldError(f)})
	}
	return problems
}

func describeFieldError(f validator.FieldError) string {
	if f.Param() == "" {
		return fmt.Sprintf("fails the rule %q", f.Tag())
	}
	return fmt.Sprintf("fails the rule %q with %q", f.Tag(), f.Param())
}

func validateRoute(r config.Route) []Problem {
	name := objectName("route", r.ID)
	var problems []Problem
	if r.PathPrefix == reservedPrefix || strings.HasPrefix(r.PathPrefix, reservedPrefix+"/") {
		problems = append(problems, Problem{name, "path_prefix", "is reserved for the model interface"})
	}
	switch r.Class {
	case "", config.Lookup, config.Booking, config.Interactive, config.Review:
	default:
		problems = append(problems, Problem{name, "class", "must be lookup, booking, interactive or review"})
	}
	if r.Open && r.RequireIdempotencyKey {
		problems = append(problems, Problem{name, "open", "a route that requires an idempotency key needs a client account"})
	}
	return append(problems, duplicateProblems(name, "servers", r.Servers)...)
}

func validateServer(s backend.Server) []Problem {
	name := objectName("server", s.ID)
	var problems []Problem
	u, err := url.Parse(s.URL)
	switch {
	case err != nil:
	case u.Scheme != "http" && u.Scheme != "https", u.Host == "":
		problems = append(problems, Problem{name, "url", "must be an http or https URL with a host"})
	case u.User != nil, u.RawQuery != "", u.Fragment != "":
		problems = append(problems, Problem{name, "url", "must not carry user information, a query or a fragment"})
	}
	if s.Kind == backend.Service && len(s.Models) > 0 {
		problems = append(problems, Problem{name, "models", "plain services serve no models"})
	}
	return append(problems, duplicateProblems(name, "models", s.Models)...)
}

func duplicateProblems[T ~string](name, field string, items []T) []Problem {
	seen := map[T]bool{}
	var problems []Problem
	for _, it := range items {
		if seen[it] {
			problems = append(problems, Problem{name, field, fmt.Sprintf("names %q twice", it)})
		}
		seen[it] = true
	}
	return problems
}
