package configcheck

import (
	"encoding/json"
	"maps"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"papayaspan.dev/papayaspan/internal/catalog"
)

// Change is what has become of an object.
type Change string

// Changes of an object.
const (
	Added   Change = "added"
	Removed Change = "removed"
	Changed Change = "changed"
)

// Difference is an object that differs between two configurations.
type Difference struct {
	// Object is the kind of object, and Name its name; limits have none.
	Object string `json:"object"`
	Name   string `json:"name,omitempty"`
	Change Change `json:"change"`
	// Fields are the fields that differ, with their values before and after.
	Fields []FieldChange `json:"fields,omitempty"`
}

// FieldChange is a field that differs. A value is empty if the field is zero. Those of keys aren't shown.
type FieldChange struct {
	Field  string `json:"field"`
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}

// keysField is the field of an account that holds the digests of its keys.
const keysField = "key_hashes"

// Diff returns the objects that differ, ordered by kind and name. The version isn't compared.
func Diff(before, after *catalog.Snapshot) ([]Difference, error) {
	var out []Difference
	kinds := []struct {
		object        string
		before, after map[string]any
	}{
		{"routes", byName(before.Routes, routeName), byName(after.Routes, routeName)},
		{"services", byName(before.Services, serviceName), byName(after.Services, serviceName)},
		{"accounts", byName(before.Accounts, accountName), byName(after.Accounts, accountName)},
		{"limits", map[string]any{"": before.Limits}, map[string]any{"": after.Limits}},
	}
	for _, k := range kinds {
		names := maps.Clone(k.before)
		maps.Copy(names, k.after)
		for _, name := range slices.Sorted(maps.Keys(names)) {
			d := Difference{Object: k.object, Name: name}
			old, wasThere := k.before[name]
			now, isThere := k.after[name]
			switch {
			case !wasThere:
				d.Change = Added
			case !isThere:
				d.Change = Removed
			default:
				fields, err := changedFields(old, now)
				if err != nil {
					return nil, err
				}
				if len(fields) == 0 {
					continue
				}
				d.Change, d.Fields = Changed, fields
			}
			out = append(out, d)
		}
	}
	return out, nil
}

func routeName(r catalog.Route) string     { return r.Name }
func serviceName(s catalog.Service) string { return s.Name }
func accountName(a catalog.Account) string { return string(a.ID) }

// byName returns objects by name. Of several with one name, all are kept in their order.
func byName[T any](list []T, name func(T) string) map[string]any {
	out := map[string]any{}
	for _, o := range list {
		key := name(o)
		for _, taken := out[key]; taken; _, taken = out[key] {
			key += " (again)"
		}
		out[key] = o
	}
	return out
}

func changedFields(before, after any) ([]FieldChange, error) {
	old, now := map[string]string{}, map[string]string{}
	if err := addFields(old, "", reflect.ValueOf(before)); err != nil {
		return nil, err
	}
	if err := addFields(now, "", reflect.ValueOf(after)); err != nil {
		return nil, err
	}
	all := maps.Clone(old)
	maps.Copy(all, now)
	var out []FieldChange
	for _, field := range slices.Sorted(maps.Keys(all)) {
		switch {
		case old[field] == now[field]:
		case field == keysField:
			out = append(out, FieldChange{Field: field})
		default:
			out = append(out, FieldChange{Field: field, Before: old[field], After: now[field]})
		}
	}
	return out, nil
}

// addFields adds the fields of a struct by their names in JSON, those of nested ones by their paths. Fields
// with a zero value are left out.
func addFields(out map[string]string, prefix string, object reflect.Value) error {
	for i := range object.NumField() {
		name, _, _ := strings.Cut(object.Type().Field(i).Tag.Get("json"), ",")
		value := object.Field(i)
		if value.IsZero() {
			continue
		}
		if value.Kind() == reflect.Pointer {
			value = value.Elem()
		}
		if value.Kind() == reflect.Struct {
			if err := addFields(out, prefix+name+".", value); err != nil {
				return err
			}
			continue
		}
		switch v := value.Interface().(type) {
		case time.Duration:
			out[prefix+name] = v.String()
			continue
		case float64: // It may be infinite, which JSON can't hold.
			out[prefix+name] = strconv.FormatFloat(v, 'g', -1, 64)
			continue
		}
		data, err := json.Marshal(value.Interface())
		if err != nil {
			return errors.Wrap(err, "compare")
		}
		out[prefix+name] = string(data)
	}
	return nil
}
