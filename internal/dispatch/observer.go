package dispatch

import "papayaspan.dev/papayaspan/internal/backend"

// observers are told of the attempts of one request, in order.
type observers []Observer

// observers returns those of the dispatcher and of the request's picker.
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
