package dispatch

import "papayaspan.dev/papayaspan/internal/backend"

// Observers passes each call on to several observers in order.
type Observers []Observer

// Started implements Observer.
func (o Observers) Started(req Request, a Attempt, s backend.Server) {
	for _, each := range o {
		each.Started(req, a, s)
	}
}

// Ended implements Observer.
func (o Observers) Ended(req Request, r Result) {
	for _, each := range o {
		each.Ended(req, r)
	}
}
