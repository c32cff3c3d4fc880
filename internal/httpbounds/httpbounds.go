// Package httpbounds limits the size of HTTP responses from other processes. A faulty process may
// send an unlimited number of bytes.
package httpbounds

import "net/http"

// MaxHeadBytes is the maximum size of a response header in bytes. Usual headers have a few hundred
// bytes. The default of net/http, 10 MiB per connection, is a large part of a small VM's memory.
const MaxHeadBytes = 64 << 10

// Transport returns a copy of the default transport that enforces MaxHeadBytes.
func Transport() *http.Transport {
	t := http.DefaultTransport.(*http.Transport).Clone()
	t.MaxResponseHeaderBytes = MaxHeadBytes
	return t
}
