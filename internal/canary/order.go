package canary

import "github.com/pkg/errors"

// Validate reports why an order cannot be carried out, or nil.
func (o Order) Validate() error {
	switch {
	case o.Service == "":
		return errors.New("the order names no service")
	case o.To == "":
		return errors.New("the order names no software version")
	case o.Duration <= 0:
		return errors.Errorf("the duration %v is not above zero", o.Duration)
	}
	return nil
}

// Final reports whether no other phase of the same order can follow.
func (p Phase) Final() bool { return p == Completed || p == RolledBack }
