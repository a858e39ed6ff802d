package stand

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// RequestGeneratorConfig configures a caller that sends HTTP requests.
type RequestGeneratorConfig struct {
	Gateways []netip.AddrPort `yaml:"gateways"`
	// Service is the name of the requested service.
	Service string `yaml:"service"`
	// Rate is the number of requests per second. They start whether or not
	// earlier ones have ended.
	Rate int `yaml:"rate"`
	// LongFraction is the fraction of long requests, from 0 to 1.
	LongFraction float64 `yaml:"longShare"`
	// Timeout limits one request, retries included.
	Timeout time.Duration `yaml:"timeout"`
	Prefix  string        `yaml:"prefix"` // of the idempotency keys
	Seed    uint64        `yaml:"seed"`
}

// RequestReport holds the counts of a caller's requests.
type RequestReport struct {
	Requests int `json:"requests"`
	Answered int `json:"answered"`
	NotRun   int `json:"notRun"`
	Unknown  int `json:"unknown"`
	// Lost counts requests without any outcome.
	Lost int `json:"lost"`
	// Mismatched counts responses to another request.
	Mismatched int `json:"crossed"`
	// NotRunKeys are the keys of requests whose outcome is notRun.
	NotRunKeys []string `json:"notRunKeys,omitempty"`
	// AnsweredKeys are the keys of answered requests.
	AnsweredKeys []string      `json:"answeredKeys,omitempty"`
	ShortP50     time.Duration `json:"shortP50"`
	ShortP99     time.Duration `json:"shortP99"`
	LongP99      time.Duration `json:"longP99"`
}

const (
	maxLatencyMs = 120_000
	retryDelay   = 50 * time.Millisecond
	maxInFlight  = 2048
)

// RequestGenerator is a caller that sends HTTP requests to the gateways.
type RequestGenerator struct {
	cfg      RequestGeneratorConfig
	client   *http.Client
	mu       sync.Mutex
	report   RequestReport
	short    *hdrhistogram.Histogram // microseconds
	long     *hdrhistogram.Histogram // microseconds
	random   *rand.Rand
	running  sync.WaitGroup
	inFlight chan struct{}
	done     chan struct{}
}

// StartRequestGenerator sends requests until ctx ends.
func StartRequestGenerator(ctx context.Context, cfg RequestGeneratorConfig) *RequestGenerator {
	// A restarted caller must not reuse idempotency keys.
	cfg.Prefix = fmt.Sprintf("%s-%x", cfg.Prefix, time.Now().UnixNano())
	g := &RequestGenerator{
		cfg: cfg, random: rand.New(rand.NewPCG(cfg.Seed, 3)),
		short:    hdrhistogram.New(1, maxLatencyMs*1000, 3),
		long:     hdrhistogram.New(1, maxLatencyMs*1000, 3),
		inFlight: make(chan struct{}, maxInFlight),
		done:     make(chan struct{}),
		client: &http.Client{Transport: &http.Transport{
			MaxIdleConnsPerHost: 64,
			DialContext:         (&net.Dialer{Timeout: time.Second}).DialContext,
		}},
	}
	go g.run(ctx)
	return g
}

// Wait blocks until all requests have ended. The context given to
// StartRequestGenerator must have ended.
func (g *RequestGenerator) Wait() {
	<-g.done
	g.running.Wait()
}

// Report returns a copy of the caller's counts.
func (g *RequestGenerator) Report() RequestReport {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := g.report
	out.ShortP50 = time.Duration(g.short.ValueAtQuantile(50)) * time.Microsecond
	out.LongP99 = time.Duration(g.long.ValueAtQuantile(99)) * time.Microsecond
	out.ShortP99 = time.Duration(g.short.ValueAtQuantile(99)) * time.Microsecond
	return out
}

func (g *RequestGenerator) run(ctx context.Context) {
	defer close(g.done)
	ticker := time.NewTicker(time.Second / time.Duration(max(g.cfg.Rate, 1)))
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			g.start(n)
		}
	}
}

func (g *RequestGenerator) start(n int) {
	select {
	case g.inFlight <- struct{}{}:
	default:
		return // the caller's own limit is reached; nothing was sent
	}
	g.mu.Lock()
	g.report.Requests++
	long := g.random.Float64() < g.cfg.LongFraction
	gateway := g.random.IntN(len(g.cfg.Gateways))
	g.mu.Unlock()
	g.running.Add(1)
	go func() {
		defer g.running.Done()
		defer func() { <-g.inFlight }()
		g.sendUntilOutcome(fmt.Sprintf("%s-%d", g.cfg.Prefix, n), long, gateway)
	}()
}

// sendUntilOutcome sends one request and retries it through the other gateways
// until it gets an outcome or times out.
func (g *RequestGenerator) sendUntilOutcome(key string, long bool, gateway int) {
	begin := time.Now()
	for time.Since(begin) < g.cfg.Timeout {
		outcome, body := g.send(key, long, gateway, g.cfg.Timeout-time.Since(begin))
		if outcome != "" {
			g.recordOutcome(key, long, outcome, body, time.Since(begin))
			return
		}
		gateway = (gateway + 1) % len(g.cfg.Gateways)
		time.Sleep(retryDelay)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.report.Lost++
}

func (g *RequestGenerator) send(key string, long bool, gateway int, remaining time.Duration) (outcome, body string) {
	ctx, cancel := context.WithTimeout(context.Background(), remaining)
	defer cancel()
	path := "/short"
	if long {
		path = longPrefix
	}
	url := "http://" + g.cfg.Gateways[gateway].String() + path
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader("order "+key))
	if err != nil {
		return "", ""
	}
	req.Host = g.cfg.Service
	req.Header.Set("Idempotency-Key", key)
	req.Header.Set("Request-Timeout", fmt.Sprintf("%.3f", remaining.Seconds()))
	req.GetBody = nil // keeps the transport from retrying by itself
	resp, err := g.client.Do(req)
	if err != nil {
		return "", ""
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return "", ""
	}
	return resp.Header.Get("Boragepost-Outcome"), string(data)
}

func (g *RequestGenerator) recordOutcome(key string, long bool, outcome, body string, latency time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch outcome {
	case "answer":
		g.report.Answered++
		g.report.AnsweredKeys = append(g.report.AnsweredKeys, key)
		if !strings.HasSuffix(body, " ran "+key+" order "+key+"\n") {
			g.report.Mismatched++
		}
		latencies := g.short
		if long {
			latencies = g.long
		}
		latencies.RecordValue(latency.Microseconds())
	case "notRun":
		g.report.NotRun++
		g.report.NotRunKeys = append(g.report.NotRunKeys, key)
	default:
		g.report.Unknown++
	}
}
