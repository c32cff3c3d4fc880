// Package httpbounds has the bounds on what other processes answer over HTTP. A faulty one may
// send bytes without end.
package httpbounds

import "net/http"

// MaxHeadBytes bounds the head of an answer, in bytes. Heads have some hundred; the default of
// net/http, 10 MiB a connection, is a good part of a small VM's memory.
const MaxHeadBytes = 64 << 10

// Transport returns the default transport with the bound.
func Transport() *http.Transport {
	t := http.DefaultTransport.(*http.Transport).Clone()
	t.MaxResponseHeaderBytes = MaxHeadBytes
	return t
}
