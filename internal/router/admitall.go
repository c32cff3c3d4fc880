package router

import "context"

// AdmitAll admits every request at once.
type AdmitAll struct{}

// Admit implements Admitter.
func (AdmitAll) Admit(context.Context, Admission) (Grant, error) { return openGrant{}, nil }
