package bench

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"papayaspan.dev/papayaspan/internal/head"
	"papayaspan.dev/papayaspan/internal/logging"
	"papayaspan.dev/papayaspan/internal/openai"
	standin "papayaspan.dev/papayaspan/internal/standin/engine"
	"papayaspan.dev/papayaspan/internal/standin/local"
	"papayaspan.dev/papayaspan/internal/ticket"
)

const (
	overheadEngines = 4
	// timePerRate is the duration of the load at each request rate.
	timePerRate = 4 * time.Second
	// overheadPromptBytes is the length of a prompt, about 8,000 tokens.
	overheadPromptBytes  = 32 << 10
	overheadOutputTokens = 8
)

// overheadRig is one router and its engines, on loopback in this process.
type overheadRig struct {
	client     *http.Client
	routerURL  string
	engineURLs []string
}

func newOverheadRig(b *testing.B) *overheadRig {
	s, err := local.Start(overheadEngines, standin.Options{
		BlockTokens: 2048, CacheBlocks: 4096, MaxRunning: 4096, DecodePerToken: 2 * time.Millisecond,
		Weights: map[string]string{local.Model: local.Weights},
	})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(s.Close)
	first := s.FirstTicket()
	first.Accounts.Set[0].Contract.Rate = 1e12
	first.Accounts.Set[0].Contract.Burst = 1e12
	store := ticket.NewStore(s.Platform, s.Platform.Objects(), head.Direct{Table: s.Platform}, "bench", time.Now)
	if rec, err := store.File(context.Background(), first); err != nil || rec.Status != ticket.Accepted {
		b.Fatal(rec, err)
	}
	log, err := logging.New(io.Discard, "info")
	if err != nil {
		b.Fatal(err)
	}
	d, err := s.StartRouter(s.Settings(1), log)
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(d.Kill)
	return &overheadRig{
		client:     &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1024}},
		routerURL:  "http://" + d.Self().CallerAddress,
		engineURLs: s.EngineURLs,
	}
}

// timeToFirstToken sends a streaming request and returns the time until its
// first event.
func (r *overheadRig) timeToFirstToken(url, prompt string) (time.Duration, error) {
	body := fmt.Sprintf(`{"model":%q,"prompt":%q,"max_tokens":%d,"stream":true}`, local.Model, prompt, overheadOutputTokens)
	begin := time.Now()
	req, err := http.NewRequest(http.MethodPost, url+openai.PathCompletions, bytes.NewReader([]byte(body)))
	if err != nil {
		return 0, err
	}
	req.Header.Set(openai.HeaderRequestID, uuid.NewString())
	if url == r.routerURL {
		req.Header.Set("Authorization", "Bearer "+local.CallerSecret)
	}
	resp, err := r.client.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	br := bufio.NewReader(resp.Body)
	_, err = br.ReadSlice('\n')
	took := time.Since(begin)
	if err != nil {
		return 0, err
	}
	rest, err := io.ReadAll(br)
	if err == nil && !bytes.Contains(rest, []byte(openai.Done)) {
		err = errors.Errorf("status %d, stream without final event", resp.StatusCode)
	}
	return took, err
}

// BenchmarkOverhead compares the time to first token through a router with that
// of a direct call to an engine. Both kinds of calls are mixed in the same run,
// with Poisson arrivals; the rate includes both.
func BenchmarkOverhead(b *testing.B) {
	for _, rate := range []int{50, 100, 200, 400, 800} {
		b.Run(fmt.Sprintf("rate=%d", rate), func(b *testing.B) {
			rig := newOverheadRig(b)
			if err := rig.waitReady(); err != nil {
				b.Fatal(err)
			}
			b.ResetTimer()
			for range b.N {
				rig.runAtRate(b, rate)
			}
		})
	}
}

// waitReady waits until the router has loaded its configuration and responds.
func (r *overheadRig) waitReady() error {
	var err error
	for range 100 {
		if _, err = r.timeToFirstToken(r.routerURL, "warm"); err == nil {
			return nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	return err
}

func (r *overheadRig) runAtRate(b *testing.B, rate int) {
	rng := rand.New(rand.NewSource(1))
	var mu sync.Mutex
	var wg sync.WaitGroup
	direct, routed := []time.Duration{}, []time.Duration{}
	failures := 0
	prefix := strings.Repeat("winding data of the stator ", overheadPromptBytes/27)
	for end := time.Now().Add(timePerRate); time.Now().Before(end); {
		time.Sleep(time.Duration(rng.ExpFloat64() * float64(time.Second) / float64(rate)))
		viaRouter := rng.Intn(2) == 0
		url := r.engineURLs[rng.Intn(len(r.engineURLs))]
		if viaRouter {
			url = r.routerURL
		}
		prompt := prefix + fmt.Sprint(rng.Int63())
		wg.Add(1)
		go func() {
			defer wg.Done()
			took, err := r.timeToFirstToken(url, prompt)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case err != nil:
				failures++
			case viaRouter:
				routed = append(routed, took)
			default:
				direct = append(direct, took)
			}
		}()
	}
	wg.Wait()
	p50d, p99d := p50AndP99(direct)
	p50r, p99r := p50AndP99(routed)
	b.ReportMetric(p50d, "direct_p50_ms")
	b.ReportMetric(p99d, "direct_p99_ms")
	b.ReportMetric(p50r-p50d, "added_p50_ms")
	b.ReportMetric(p99r-p99d, "added_p99_ms")
	b.ReportMetric(float64(failures), "failures")
	b.ReportMetric(float64(len(routed)+len(direct))/timePerRate.Seconds(), "achieved_per_s")
}

// p50AndP99 returns the median and the 99th percentile in milliseconds.
func p50AndP99(list []time.Duration) (p50, p99 float64) {
	if len(list) == 0 {
		return 0, 0
	}
	slices.Sort(list)
	ms := func(q float64) float64 {
		return float64(list[int(q*float64(len(list)-1))]) / float64(time.Millisecond)
	}
	return ms(0.5), ms(0.99)
}
