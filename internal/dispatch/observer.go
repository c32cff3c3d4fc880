package dispatch

import "papayaspan.dev/papayaspan/internal/backend"

// observers is a list of observers of one request. It notifies them in order.
type observers []Observer

// observers returns the dispatcher's observer and the picker p, if p is an
// Observer.
func (d *Dispatcher) observers(p Picker) observers {
	var list observers
	if d.cfg.Observer != nil {
		list = append(list, d.cfg.Observer)
	}
	if o, ok := p.(Observer); ok {
		list = append(list, o)
	}
	return list
}

func (l observers) Started(req Request, a Attempt, s backend.Server) {
	for _, o := range l {
		o.Started(req, a, s)
	}
}

func (l observers) Answered(req Request, r Result) {
	for _, o := range l {
		o.Answered(req, r)
	}
}

func (l observers) Ended(req Request, r Result) {
	for _, o := range l {
		o.Ended(req, r)
	}
}
