package router

import (
	"net/http"
	"strings"
	"time"

	"papayaspan.dev/papayaspan/internal/account"
	"papayaspan.dev/papayaspan/internal/config"
	"papayaspan.dev/papayaspan/internal/dispatch"
	"papayaspan.dev/papayaspan/internal/verdict"
)

const staleRetryAfter = 2 * time.Second

// caller is an authenticated caller.
type caller struct {
	key     account.Key
	account account.Account
}

// authenticate returns the client account whose key the request carries.
func (r *Router) authenticate(view *config.View, req *http.Request) (caller, *verdict.Error) {
	secret := bearer(req)
	if secret == "" {
		return caller{}, verdict.Refuse(http.StatusUnauthorized, "key_missing", "the Authorization header holds no bearer key")
	}
	if err := r.checkConfigurationFresh(); err != nil {
		return caller{}, err
	}
	key, ok := view.Authenticate(secret)
	if !ok {
		return caller{}, unknownKeyError()
	}
	return caller{key: key, account: view.Accounts[key.Account]}, nil
}

// bearer returns the secret of the Authorization header, or "".
func bearer(req *http.Request) string {
	secret, _ := strings.CutPrefix(req.Header.Get("Authorization"), "Bearer ")
	return secret
}

// checkKeyNotInRequest refuses a request that would leak the caller's key to a
// backend server in its path or body.
func checkKeyNotInRequest(req *http.Request, body []byte) *verdict.Error {
	_, err := dispatch.SanitizePath(req.URL, bearer(req))
	if err == nil {
		err = dispatch.CheckBody(body, bearer(req))
	}
	if err == nil {
		return nil
	}
	return verdict.Refuse(http.StatusBadRequest, "key_in_request", "the path or body holds the caller's key")
}

// checkConfigurationFresh refuses requests with keys while the configuration may
// be out of date.
func (r *Router) checkConfigurationFresh() *verdict.Error {
	if r.opts.Freshness.Fresh(r.opts.Now()) {
		return nil
	}
	return verdict.RefuseUntil(http.StatusServiceUnavailable, "configuration_stale", "this VM cannot tell whether keys are still valid", staleRetryAfter)
}

// recheckKey refuses a caller whose key is no longer valid. It is called after
// admission, because the key may have been withdrawn while the request waited.
// Keys are checked for every request, also on a persistent connection.
//
// A stream in progress when its key is withdrawn is not cut off: it was admitted
// and its tokens were reserved while the key was valid, and streams are
// guaranteed to be delivered in full. Its length is bounded by the declared
// maximum output and the request timeout.
func (r *Router) recheckKey(c caller) *verdict.Error {
	if err := r.checkConfigurationFresh(); err != nil {
		return err
	}
	if k, ok := r.View().Keys[c.key.ID]; !ok || k != c.key {
		return unknownKeyError()
	}
	return nil
}

func unknownKeyError() *verdict.Error {
	return verdict.Refuse(http.StatusUnauthorized, "key_unknown", "the key is not known or was withdrawn")
}
