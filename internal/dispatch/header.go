package dispatch

import (
	"bytes"
	"net/http"
	"net/url"
	"strings"

	"github.com/pkg/errors"

	"papayaspan.dev/papayaspan/internal/openai"
)

// ErrKeyInRequest means that the caller's key stands in a part of the request
// from which it cannot be removed.
var ErrKeyInRequest = errors.New("the request contains the caller's key")

// hopByHop are the headers of one connection (RFC 9110, section 7.6.1) and
// those that the router sets itself.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length", "Expect", "Host",
}

// credentials are headers that carry keys or sessions.
var credentials = []string{
	"Authorization", "Proxy-Authorization", "Proxy-Authenticate", "Www-Authenticate",
	"Authentication-Info", "Proxy-Authentication-Info", "Cookie", "Cookie2",
	"Set-Cookie", "Set-Cookie2",
}

// requestOnly are further headers that no backend server gets.
var requestOnly = []string{
	"Accept-Encoding", "Forwarded", "X-Forwarded-For", "X-Forwarded-Host",
	"X-Forwarded-Proto", "X-Real-Ip", "Referer",
}

// responseOnly are further headers that no caller gets.
var responseOnly = []string{
	"Server", openai.HeaderIncarnation, openai.HeaderWeightsVersion, HeaderNotRun,
}

// keyNames are names of query parameters and headers that carry keys, in lower
// case without separators.
var keyNames = map[string]bool{
	"key": true, "auth": true, "authorization": true, "bearer": true, "token": true,
	"accesstoken": true, "authtoken": true, "idtoken": true, "refreshtoken": true,
	"sessiontoken": true, "securitytoken": true, "secret": true, "clientsecret": true,
	"password": true, "passwd": true, "pwd": true, "credential": true,
	"credentials": true, "sig": true, "signature": true, "session": true,
	"sessionid": true, "accesskey": true, "subscriptionkey": true,
}

// isKeyName reports whether a parameter or header of this name carries a key.
func isKeyName(name string) bool {
	n := strings.NewReplacer("-", "", "_", "", ".", "").Replace(strings.ToLower(name))
	n = strings.TrimPrefix(n, "x")
	return keyNames[n] || strings.HasSuffix(n, "apikey") || strings.HasSuffix(n, "authtoken")
}

// SanitizeRequest returns the headers that may go to a backend server. Headers
// with credentials, hop-by-hop headers, and headers whose name or value holds
// the caller's secret are left out. The secret may be empty.
func SanitizeRequest(h http.Header, secret string) http.Header {
	out := sanitize(h, requestOnly)
	for name, values := range out {
		if isKeyName(name) || holdsSecret(name, secret) || anyHoldsSecret(values, secret) {
			delete(out, name)
		}
	}
	return out
}

// SanitizeResponse returns the headers that may go to the caller.
func SanitizeResponse(h http.Header) http.Header {
	return sanitize(h, responseOnly)
}

func sanitize(h http.Header, more []string) http.Header {
	out := make(http.Header, len(h))
	for name, values := range h {
		if strings.HasPrefix(name, http.TrailerPrefix) {
			continue
		}
		name = http.CanonicalHeaderKey(name)
		out[name] = append(out[name], values...)
	}
	for _, field := range out["Connection"] {
		for _, name := range strings.Split(field, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, list := range [][]string{hopByHop, credentials, more} {
		for _, name := range list {
			delete(out, http.CanonicalHeaderKey(name))
		}
	}
	return out
}

// SanitizePath returns the path and query that may go to a backend server.
// Parameters that carry keys by name or value are left out, and so are those
// that cannot be parsed. A secret in the path itself is ErrKeyInRequest.
func SanitizePath(u *url.URL, secret string) (string, error) {
	path := u.EscapedPath()
	if holdsSecret(u.Path, secret) || holdsSecret(path, secret) {
		return "", ErrKeyInRequest
	}
	if u.RawQuery == "" {
		return path, nil
	}
	// A parameter that does not parse is dropped, hence the ignored error.
	query, _ := url.ParseQuery(u.RawQuery)
	for name, values := range query {
		if isKeyName(name) || holdsSecret(name, secret) || anyHoldsSecret(values, secret) {
			delete(query, name)
		}
	}
	if len(query) == 0 {
		return path, nil
	}
	return path + "?" + query.Encode(), nil
}

// CheckBody returns ErrKeyInRequest if the body holds the secret.
func CheckBody(body []byte, secret string) error {
	if len(secret) >= minSecretBytes && bytes.Contains(body, []byte(secret)) {
		return ErrKeyInRequest
	}
	return nil
}

// minSecretBytes keeps a very short secret from matching everything.
const minSecretBytes = 8

func holdsSecret(s, secret string) bool {
	return len(secret) >= minSecretBytes && strings.Contains(strings.ToLower(s), strings.ToLower(secret))
}

func anyHoldsSecret(values []string, secret string) bool {
	for _, v := range values {
		if holdsSecret(v, secret) {
			return true
		}
	}
	return false
}
