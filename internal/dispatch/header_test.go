package dispatch

import (
	"net/http"
	"net/url"
	"strings"
	"testing"
)

const testSecret = "pk-secret-0123456789"

func TestSanitizeRequest(t *testing.T) {
	in := http.Header{
		"Authorization": {"Bearer " + testSecret}, "Cookie": {"a=b"}, "X-Api-Key": {"k"}, "Api-Key": {"k"},
		"X-Goog-Api-Key": {"k"}, "Connection": {"close, X-Hop"}, "X-Hop": {"1"}, "Te": {"trailers"},
		"Trailer": {"X-Late"}, "X-Odd": {"v=" + testSecret}, "Trailer:X-T": {"1"}, "X-Auth-Token": {"t"},
		"Idempotency-Key": {"i-1"}, "Content-Type": {"application/json"}, "X-Shop": {"12"},
	}
	out := SanitizeRequest(in, testSecret)
	want := []string{"Content-Type", "Idempotency-Key", "X-Shop"}
	if len(out) != len(want) {
		t.Errorf("got %v", out)
	}
	for _, name := range want {
		if out.Get(name) != in.Get(name) {
			t.Errorf("%s is %q", name, out.Get(name))
		}
	}
}

func TestSanitizePath(t *testing.T) {
	tests := []struct {
		desc, in, want string
		err            error
	}{
		{"no query", "/svc/jobs/12%2F3", "/svc/jobs/12%2F3", nil},
		{"key by name", "/s?api_key=x&shop=12&access_token=y&X-Api-Key=z&max_tokens=5", "/s?max_tokens=5&shop=12", nil},
		{"key by value", "/s?q=" + testSecret + "&r=1", "/s?r=1", nil},
		{"only a key", "/s?key=x", "/s", nil},
		{"unparsable parameter", "/s?a=%zz&b=1&c=1;d=2", "/s?b=1", nil},
		{"key in the path", "/s/" + testSecret, "", ErrKeyInRequest},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			u, err := url.Parse(tt.in)
			if err != nil {
				t.Fatal(err)
			}
			got, err := SanitizePath(u, testSecret)
			if got != tt.want || err != tt.err {
				t.Errorf("got %q, %v; want %q, %v", got, err, tt.want, tt.err)
			}
		})
	}
}

// FuzzSanitize checks that no header, path or query lets the secret or a
// credential through.
func FuzzSanitize(f *testing.F) {
	f.Add("Authorization", "Bearer "+testSecret, "/p?api_key=1")
	f.Add("connection", "authorization", "/p?a="+testSecret)
	f.Add("X-"+testSecret, "v", "/%70k-secret-0123456789?%61pi_key=x")
	f.Add("Trailer:Authorization", "x", "/p?a;b=1&key")
	f.Fuzz(func(t *testing.T, name, value, target string) {
		in := http.Header{name: {value}, "Authorization": {"Bearer " + testSecret}}
		for _, out := range []http.Header{SanitizeRequest(in, testSecret)} {
			for n, values := range out {
				all := strings.ToLower(n + " " + strings.Join(values, " "))
				if strings.Contains(all, testSecret) || http.CanonicalHeaderKey(n) == "Authorization" {
					t.Errorf("%q passed", all)
				}
			}
		}
		if SanitizeResponse(in).Get("Authorization") != "" {
			t.Error("authorization in the response")
		}
		u, err := url.Parse(target)
		if err != nil {
			return
		}
		path, err := SanitizePath(u, testSecret)
		if err != nil {
			return
		}
		plain, err := url.QueryUnescape(path)
		if strings.Contains(path, testSecret) || (err == nil && strings.Contains(plain, testSecret)) {
			t.Errorf("%q became %q", target, path)
		}
	})
}
