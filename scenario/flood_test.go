package scenario

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// flood sends calls of the same cost to several VMs from a fixed number of workers
// and counts the admitted ones.
type flood struct {
	key, path   string
	rate, burst float64 // tokens a second, tokens
	cost        float64 // tokens a call
	// least is the minimum share of the rate that must be admitted, 0 to 1.
	least float64
	addrs []string
	time  time.Duration
}

// workersPerVM is the number of concurrent callers of each VM.
const workersPerVM = 3

// cmdFlood checks that all VMs together admit at most rate x time + burst tokens:
// flood [background=NAME] SECONDS key=K path=P rate=R burst=B cost=C [least=SHARE]
// VM... With background=NAME it runs while the script continues; join NAME waits
// for its result.
func cmdFlood(ts *testscript.TestScript, _ bool, args []string) {
	d := deploymentOf(ts)
	name := ""
	if strings.HasPrefix(args[0], "background=") {
		name, args = strings.TrimPrefix(args[0], "background="), args[1:]
	}
	f := &flood{time: time.Duration(atoi(ts, args[0])) * time.Second}
	for _, word := range args[1:] {
		if v, ok := d.vms[word]; ok {
			f.addrs = append(f.addrs, v.caller)
			continue
		}
		ts.Check(f.set(word))
	}
	if name == "" {
		ts.Check(f.run())
		return
	}
	result := make(chan error, 1)
	d.background[name] = result
	go func() { result <- f.run() }()
}

func (f *flood) set(word string) error {
	name, value, _ := strings.Cut(word, "=")
	number := map[string]*float64{"rate": &f.rate, "burst": &f.burst, "cost": &f.cost, "least": &f.least}
	text := map[string]*string{"key": &f.key, "path": &f.path}
	if p, ok := text[name]; ok {
		*p = value
		return nil
	}
	p, ok := number[name]
	if !ok {
		return fmt.Errorf("unknown word %q", word)
	}
	var err error
	*p, err = strconv.ParseFloat(value, 64)
	return err
}

func (f *flood) run() error {
	var admitted atomic.Int64
	var wg sync.WaitGroup
	begin := time.Now()
	for _, addr := range f.addrs {
		for range workersPerVM {
			wg.Add(1)
			go func() {
				defer wg.Done()
				f.send(addr, begin.Add(f.time), &admitted)
			}()
		}
	}
	wg.Wait()
	elapsed := time.Since(begin).Seconds()
	tokens := float64(admitted.Load()) * f.cost
	if bound := f.rate*elapsed + f.burst; tokens > bound {
		return fmt.Errorf("%g tokens admitted in %.2f s, bound %g", tokens, elapsed, bound)
	}
	if want := f.least * f.rate * f.time.Seconds(); tokens < want {
		return fmt.Errorf("%g tokens admitted in %.2f s, want %g", tokens, elapsed, want)
	}
	return nil
}

func (f *flood) send(addr string, until time.Time, admitted *atomic.Int64) {
	const pause = 5 * time.Millisecond
	client := &http.Client{Timeout: callTimeout}
	defer client.CloseIdleConnections()
	for time.Now().Before(until) {
		req, err := http.NewRequest(http.MethodGet, "http://"+addr+f.path, nil)
		if err != nil {
			return
		}
		req.Header.Set("Authorization", "Bearer "+f.key)
		if resp, err := client.Do(req); err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				admitted.Add(1)
			}
		}
		time.Sleep(pause)
	}
}
