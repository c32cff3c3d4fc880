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

// authenticate finds the client account whose key came with the request.
func (r *Router) authenticate(view *config.View, req *http.Request) (caller, *verdict.Error) {
	secret := bearer(req)
	if secret == "" {
		return caller{}, verdict.Refuse(http.StatusUnauthorized, "key_missing", "the Authorization header holds no bearer key")
	}
	if err := r.checkFresh(); err != nil {
		return caller{}, err
	}
	key, ok := view.Authenticate(secret)
	if !ok {
		return caller{}, unknownKey()
	}
	return caller{key: key, account: view.Accounts[key.Account]}, nil
}

// bearer returns the secret that came with the request, or "".
func bearer(req *http.Request) string {
	secret, _ := strings.CutPrefix(req.Header.Get("Authorization"), "Bearer ")
	return secret
}

// checkNoKey refuses a request that would carry the caller's key to a backend
// server in its path or body.
func checkNoKey(req *http.Request, body []byte) *verdict.Error {
	_, err := dispatch.SanitizePath(req.URL, bearer(req))
	if err == nil {
		err = dispatch.CheckBody(body, bearer(req))
	}
	if err == nil {
		return nil
	}
	return verdict.Refuse(http.StatusBadRequest, "key_in_request", "the path or body holds the caller's key")
}

// checkFresh refuses keyed work while the configuration may be out of date.
func (r *Router) checkFresh() *verdict.Error {
	if r.opts.Evidence.Fresh(r.opts.Now()) {
		return nil
	}
	return verdict.RefuseUntil(http.StatusServiceUnavailable, "configuration_stale", "this VM cannot tell whether keys are still valid", staleRetryAfter)
}

// recheck tells whether the caller's key is still valid now. A request that
// waited is checked again before it is dispatched, as is each request on a kept
// connection.
//
// A stream that runs when its key is withdrawn runs to its end: it was admitted
// and reserved while the key was valid, and cutting it would break the promise
// that every stream arrives whole. Its length is bounded by the declared maximum
// of tokens and the request time limit.
func (r *Router) recheck(c caller) *verdict.Error {
	if err := r.checkFresh(); err != nil {
		return err
	}
	if k, ok := r.View().Keys[c.key.ID]; !ok || k != c.key {
		return unknownKey()
	}
	return nil
}

func unknownKey() *verdict.Error {
	return verdict.Refuse(http.StatusUnauthorized, "key_unknown", "the key is not known or was withdrawn")
}
