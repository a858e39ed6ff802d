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

// RequestGeneratorConfig describes a caller that places requests.
type RequestGeneratorConfig struct {
	Gateways []netip.AddrPort `yaml:"gateways"`
	// Service is the name of the service that is asked.
	Service string `yaml:"service"`
	// Rate is the number of requests a second, started whether or not earlier
	// ones have ended.
	Rate int `yaml:"rate"`
	// LongFraction is the share of long requests, from 0 to 1.
	LongFraction float64 `yaml:"longShare"`
	// Timeout is the caller's deadline for one request, resends included.
	Timeout time.Duration `yaml:"timeout"`
	Prefix  string        `yaml:"prefix"` // of the idempotency keys
	Seed    uint64        `yaml:"seed"`
}

// RequestReport is what a caller saw of its requests.
type RequestReport struct {
	Requests int `json:"requests"`
	Answered int `json:"answered"`
	NotRun   int `json:"notRun"`
	Unknown  int `json:"unknown"`
	// Lost counts requests without any outcome.
	Lost int `json:"lost"`
	// Mismatched counts answers to another request.
	Mismatched int `json:"crossed"`
	// NotRunKeys are the keys of requests that were said not to have run.
	NotRunKeys []string `json:"notRunKeys,omitempty"`
	// AnsweredKeys are the keys of answered requests.
	AnsweredKeys []string      `json:"answeredKeys,omitempty"`
	ShortP50     time.Duration `json:"shortP50"`
	ShortP99     time.Duration `json:"shortP99"`
	LongP99      time.Duration `json:"longP99"`
}

const (
	maxLatencyMs = 120_000
	resendAfter  = 50 * time.Millisecond
	maxOpen      = 2048
)

// RequestGenerator is a running caller.
type RequestGenerator struct {
	cfg     RequestGeneratorConfig
	client  *http.Client
	mu      sync.Mutex
	report  RequestReport
	short   *hdrhistogram.Histogram // microseconds
	long    *hdrhistogram.Histogram // microseconds
	random  *rand.Rand
	running sync.WaitGroup
	open    chan struct{}
	done    chan struct{}
}

// StartRequestGenerator places requests until ctx ends.
func StartRequestGenerator(ctx context.Context, cfg RequestGeneratorConfig) *RequestGenerator {
	// A caller that is started again places new requests.
	cfg.Prefix = fmt.Sprintf("%s-%x", cfg.Prefix, time.Now().UnixNano())
	o := &RequestGenerator{
		cfg: cfg, random: rand.New(rand.NewPCG(cfg.Seed, 3)),
		short: hdrhistogram.New(1, maxLatencyMs*1000, 3),
		long:  hdrhistogram.New(1, maxLatencyMs*1000, 3),
		open:  make(chan struct{}, maxOpen),
		done:  make(chan struct{}),
		client: &http.Client{Transport: &http.Transport{
			MaxIdleConnsPerHost: 64,
			DialContext:         (&net.Dialer{Timeout: time.Second}).DialContext,
		}},
	}
	go o.run(ctx)
	return o
}

// Wait waits until all requests have ended; the context given to StartOrders
// must have ended.
func (o *RequestGenerator) Wait() {
	<-o.done
	o.running.Wait()
}

// Report returns a copy of the caller's counts.
func (o *RequestGenerator) Report() RequestReport {
	o.mu.Lock()
	defer o.mu.Unlock()
	out := o.report
	out.ShortP50 = time.Duration(o.short.ValueAtQuantile(50)) * time.Microsecond
	out.LongP99 = time.Duration(o.long.ValueAtQuantile(99)) * time.Microsecond
	out.ShortP99 = time.Duration(o.short.ValueAtQuantile(99)) * time.Microsecond
	return out
}

func (o *RequestGenerator) run(ctx context.Context) {
	defer close(o.done)
	ticker := time.NewTicker(time.Second / time.Duration(max(o.cfg.Rate, 1)))
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			o.start(n)
		}
	}
}

func (o *RequestGenerator) start(n int) {
	select {
	case o.open <- struct{}{}:
	default:
		return // the caller itself is full; nothing was sent
	}
	o.mu.Lock()
	o.report.Requests++
	long := o.random.Float64() < o.cfg.LongFraction
	gateway := o.random.IntN(len(o.cfg.Gateways))
	o.mu.Unlock()
	o.running.Add(1)
	go func() {
		defer o.running.Done()
		defer func() { <-o.open }()
		o.place(fmt.Sprintf("%s-%d", o.cfg.Prefix, n), long, gateway)
	}()
}

// place sends one request, and again through other gateways while it gets no
// outcome.
func (o *RequestGenerator) place(key string, long bool, gateway int) {
	begin := time.Now()
	for time.Since(begin) < o.cfg.Timeout {
		outcome, body := o.send(key, long, gateway, o.cfg.Timeout-time.Since(begin))
		if outcome != "" {
			o.count(key, long, outcome, body, time.Since(begin))
			return
		}
		gateway = (gateway + 1) % len(o.cfg.Gateways)
		time.Sleep(resendAfter)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.report.Lost++
}

func (o *RequestGenerator) send(key string, long bool, gateway int, left time.Duration) (outcome, body string) {
	ctx, cancel := context.WithTimeout(context.Background(), left)
	defer cancel()
	path := "/short"
	if long {
		path = longPrefix
	}
	url := "http://" + o.cfg.Gateways[gateway].String() + path
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader("order "+key))
	if err != nil {
		return "", ""
	}
	req.Host = o.cfg.Service
	req.Header.Set("Idempotency-Key", key)
	req.Header.Set("Request-Timeout", fmt.Sprintf("%.3f", left.Seconds()))
	req.GetBody = nil // the transport must not resend by itself
	resp, err := o.client.Do(req)
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

func (o *RequestGenerator) count(key string, long bool, outcome, body string, took time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch outcome {
	case "answer":
		o.report.Answered++
		o.report.AnsweredKeys = append(o.report.AnsweredKeys, key)
		if !strings.HasSuffix(body, " ran "+key+" order "+key+"\n") {
			o.report.Mismatched++
		}
		latencies := o.short
		if long {
			latencies = o.long
		}
		latencies.RecordValue(took.Microseconds())
	case "notRun":
		o.report.NotRun++
		o.report.NotRunKeys = append(o.report.NotRunKeys, key)
	default:
		o.report.Unknown++
	}
}
