package dispatch

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"papayaspan.dev/papayaspan/internal/backend"
	"papayaspan.dev/papayaspan/internal/peek"
	"papayaspan.dev/papayaspan/internal/verdict"
)

func TestRequestIsSentAfterItsCallerLeft(t *testing.T) {
	var ran atomic.Int64
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		ran.Add(1)
		_, _ = io.WriteString(w, "ok")
	}))
	defer srv.Close()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	caller, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	accepted, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer accepted.Close()
	caller.Close()
	time.Sleep(20 * time.Millisecond)
	p := listPicker{{ID: "s", Kind: backend.Service, URL: srv.URL}}
	req := Request{ID: testID, Method: http.MethodPost, Path: "/", Body: []byte("x")}
	_, err = newTestDispatcher(t).Do(peek.ConnContext(context.Background(), accepted), req, p, &memorySink{})
	if ran.Load() > 0 || verdict.Of(err) != verdict.NotRun {
		t.Errorf("ran %d times, error %v", ran.Load(), err)
	}
}
