package dispatch

import (
	"bytes"
	"net/http"
	"net/url"
	"strings"

	"github.com/pkg/errors"

	"papayaspan.dev/papayaspan/internal/openai"
)

// ErrKeyInRequest means that the caller's key occurs in a part of the request
// from which it cannot be removed.
var ErrKeyInRequest = errors.New("the request contains the caller's key")

// hopByHopHeaders lists the hop-by-hop headers (RFC 9110, section 7.6.1) and
// those that the router sets itself.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length", "Expect", "Host",
}

// credentialHeaders lists the headers that carry credentials or sessions.
var credentialHeaders = []string{
	"Authorization", "Proxy-Authorization", "Proxy-Authenticate", "Www-Authenticate",
	"Authentication-Info", "Proxy-Authentication-Info", "Cookie", "Cookie2",
	"Set-Cookie", "Set-Cookie2",
}

// droppedRequestHeaders lists further headers that are not sent to backend
// servers.
var droppedRequestHeaders = []string{
	"Accept-Encoding", "Forwarded", "X-Forwarded-For", "X-Forwarded-Host",
	"X-Forwarded-Proto", "X-Real-Ip", "Referer",
}

// droppedResponseHeaders lists further headers that are not sent to callers.
var droppedResponseHeaders = []string{
	"Server", openai.HeaderIncarnation, openai.HeaderWeightsVersion, HeaderNotRun,
}

// credentialNames holds the names of query parameters and headers that carry
// credentials, in lower case and without separators.
var credentialNames = map[string]bool{
	"key": true, "auth": true, "authorization": true, "bearer": true, "token": true,
	"accesstoken": true, "authtoken": true, "idtoken": true, "refreshtoken": true,
	"sessiontoken": true, "securitytoken": true, "secret": true, "clientsecret": true,
	"password": true, "passwd": true, "pwd": true, "credential": true,
	"credentials": true, "sig": true, "signature": true, "session": true,
	"sessionid": true, "accesskey": true, "subscriptionkey": true,
}

// isCredentialName reports whether a query parameter or header of this name
// carries a credential.
func isCredentialName(name string) bool {
	n := strings.NewReplacer("-", "", "_", "", ".", "").Replace(strings.ToLower(name))
	n = strings.TrimPrefix(n, "x")
	return credentialNames[n] || strings.HasSuffix(n, "apikey") || strings.HasSuffix(n, "authtoken")
}

// SanitizeRequest returns the headers that may be sent to a backend server. It
// omits headers with credentials, hop-by-hop headers, and headers whose name or
// value contains the caller's secret. The secret may be empty.
func SanitizeRequest(h http.Header, secret string) http.Header {
	out := sanitize(h, droppedRequestHeaders)
	for name, values := range out {
		if isCredentialName(name) || containsSecret(name, secret) || anyContainsSecret(values, secret) {
			delete(out, name)
		}
	}
	return out
}

// SanitizeResponse returns the headers that may be sent to the caller.
func SanitizeResponse(h http.Header) http.Header {
	return sanitize(h, droppedResponseHeaders)
}

func sanitize(h http.Header, dropped []string) http.Header {
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
	for _, list := range [][]string{hopByHopHeaders, credentialHeaders, dropped} {
		for _, name := range list {
			delete(out, http.CanonicalHeaderKey(name))
		}
	}
	return out
}

// SanitizePath returns the path and query that may be sent to a backend server.
// It omits parameters whose name denotes a credential, parameters that contain
// the secret, and those that cannot be parsed. If the path itself contains the
// secret, the error is ErrKeyInRequest.
func SanitizePath(u *url.URL, secret string) (string, error) {
	path := u.EscapedPath()
	if containsSecret(u.Path, secret) || containsSecret(path, secret) {
		return "", ErrKeyInRequest
	}
	if u.RawQuery == "" {
		return path, nil
	}
	// ParseQuery drops parameters that it cannot parse, so its error is ignored.
	query, _ := url.ParseQuery(u.RawQuery)
	for name, values := range query {
		if isCredentialName(name) || containsSecret(name, secret) || anyContainsSecret(values, secret) {
			delete(query, name)
		}
	}
	if len(query) == 0 {
		return path, nil
	}
	return path + "?" + query.Encode(), nil
}

// CheckBody returns ErrKeyInRequest if the body contains the secret.
func CheckBody(body []byte, secret string) error {
	if len(secret) >= minSecretBytes && bytes.Contains(body, []byte(secret)) {
		return ErrKeyInRequest
	}
	return nil
}

// minSecretBytes is the shortest secret that is searched for. A very short one
// would match almost any text.
const minSecretBytes = 8

func containsSecret(s, secret string) bool {
	return len(secret) >= minSecretBytes && strings.Contains(strings.ToLower(s), strings.ToLower(secret))
}

func anyContainsSecret(values []string, secret string) bool {
	for _, v := range values {
		if containsSecret(v, secret) {
			return true
		}
	}
	return false
}
