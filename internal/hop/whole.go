package hop

import (
	"bufio"
	"bytes"
	"net/http"
)

// Framed reports whether the response has a length or chunks. Otherwise its body ends with the
// connection.
func Framed(resp *http.Response) bool {
	return resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
}

// ContainsResponse reports whether the body of a response that isn't framed contains another response
// for which match returns true. A server that answers twice writes the second answer behind the first.
func ContainsResponse(body []byte, method string, match func(*http.Response) bool) bool {
	for {
		i := bytes.Index(body, []byte("HTTP/1."))
		if i < 0 {
			return false
		}
		body = body[i:]
		resp, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(body)), &http.Request{Method: method})
		if err == nil && match(resp) {
			return true
		}
		body = body[1:]
	}
}
