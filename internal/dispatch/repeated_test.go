package dispatch

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"papayaspan.dev/papayaspan/internal/backend"
	"papayaspan.dev/papayaspan/internal/openai"
	"papayaspan.dev/papayaspan/internal/verdict"
)

// repeatingEngine refuses the first request on each connection, and writes that refusal once more
// before its response to the next request, which it runs.
type repeatingEngine struct {
	refusal func(id string) string
	mu      sync.Mutex
	ran     map[string]int
}

func (e *repeatingEngine) serve(c net.Conn) {
	defer c.Close()
	br := bufio.NewReader(c)
	first := ""
	for n := 0; ; n++ {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		discard(req.Body)
		id := req.Header.Get(openai.HeaderRequestID)
		if n == 0 {
			first = id
			fmt.Fprint(c, e.refusal(first))
			continue
		}
		e.mu.Lock()
		e.ran[id]++
		e.mu.Unlock()
		fmt.Fprint(c, e.refusal(first))
		time.Sleep(5 * time.Millisecond)
		body := fmt.Sprintf(`{"id":%q}`, id)
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", openai.HeaderRequestID, id, len(body), body)
	}
}

func TestRefusalRepeatedOnKeptConnectionIsTakenForNextRequest(t *testing.T) {
	for name, refusal := range map[string]func(string) string{
		"with the earlier request's ID": func(id string) string {
			return fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\n%s: %s\r\n%s: true\r\nContent-Length: 0\r\n\r\n", openai.HeaderRequestID, id, HeaderNotRun)
		},
		"without an ID": func(string) string {
			return fmt.Sprintf("HTTP/1.1 429 Too Many Requests\r\n%s: true\r\nContent-Length: 0\r\n\r\n", HeaderNotRun)
		},
	} {
		t.Run(name, func(t *testing.T) {
			e := &repeatingEngine{refusal: refusal, ran: map[string]int{}}
			d := newTestDispatcher(t)
			p := listPicker{{ID: "first", Kind: backend.Engine, URL: rawServer(t, e.serve)}}
			for i := range 30 {
				id := fmt.Sprint("req-", i)
				req := Request{ID: id, Account: "a", Method: http.MethodPost, Path: "/v1/completions", Body: []byte(`{}`)}
				_, err := d.Do(context.Background(), req, p, &memorySink{})
				e.mu.Lock()
				ran := e.ran[id]
				e.mu.Unlock()
				if v := verdict.Of(err); ran > 0 && v == verdict.NotRun {
					t.Fatalf("%s ran and was reported as not run: %v", id, err)
				}
				if ran > 1 {
					t.Fatalf("%s ran %d times", id, ran)
				}
				time.Sleep(10 * time.Millisecond) // A repeated refusal may arrive meanwhile.
			}
		})
	}
}
