package platform

import (
	"cmp"
	"fmt"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// Era counts how often the store has been restored from an older copy. The changes
// that it acknowledged after the copy was made are then lost, and their versions
// are assigned again. Era is 0 if the store doesn't report it.
type Era uint64

// Revision is the position of a change in a store that takes all versions from one
// counter. Revisions are ordered by era, then by version. The zero value is before
// all changes.
type Revision struct {
	Era     Era
	Version Version
}

// Compare returns -1 if r is before o, 0 if they are equal and 1 if r is after o.
func (r Revision) Compare(o Revision) int {
	return cmp.Or(cmp.Compare(r.Era, o.Era), cmp.Compare(r.Version, o.Version))
}

// Before reports whether r is before o.
func (r Revision) Before(o Revision) bool { return r.Compare(o) < 0 }

// After reports whether r is after o.
func (r Revision) After(o Revision) bool { return r.Compare(o) > 0 }

// IsZero reports whether r is before all changes.
func (r Revision) IsZero() bool { return r == Revision{} }

// Later returns the later of two revisions.
func Later(a, b Revision) Revision {
	if a.Before(b) {
		return b
	}
	return a
}

// Earlier returns the earlier of two revisions.
func Earlier(a, b Revision) Revision {
	if b.Before(a) {
		return b
	}
	return a
}

// String returns the revision as ERA.VERSION, with both numbers in decimal.
func (r Revision) String() string { return fmt.Sprintf("%d.%d", r.Era, r.Version) }

// MarshalText implements encoding.TextMarshaler, in the form of String.
func (r Revision) MarshalText() ([]byte, error) { return []byte(r.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (r *Revision) UnmarshalText(text []byte) error {
	era, version, ok := strings.Cut(string(text), ".")
	e, err1 := strconv.ParseUint(era, 10, 64)
	v, err2 := strconv.ParseUint(version, 10, 64)
	if !ok || err1 != nil || err2 != nil {
		return errors.Errorf("revision %q is not of the form ERA.VERSION", text)
	}
	*r = Revision{Era: Era(e), Version: Version(v)}
	return nil
}
