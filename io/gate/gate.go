// Package gate is the HTTP gateway for requests: it chooses a backend server,
// sends the request, and gives the caller exactly one of three outcomes.
//
// The header Boragepost-Outcome names the outcome:
//
//   - answer: the body is the backend server's whole answer.
//   - notRun: no backend server ran the request, and none will.
//   - unknown: the request may or may not have run. It is not sent again.
//
// A request names its service in the Host header. Request-Timeout gives the
// caller's deadline in seconds. A request with an unsafe method and an
// Idempotency-Key runs at most once, through whichever gateways it is sent
// (package claim).
//
// # Usage
//
//	g := gate.New(gate.Config{Self: "entry-1", Zone: "a", Claim: claimFunc})
//	g.Apply(view)
//	http.Serve(listener, g)
package gate

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"boragepost/core/claim"
	"boragepost/core/model"
)

// Headers of the gateway.
const (
	HeaderOutcome        = "Boragepost-Outcome"
	HeaderTimeout        = "Request-Timeout"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderRequestID      = "Request-Id"
	// HeaderShed on a 503 answer of a backend server says that it did not run
	// the request.
	HeaderShed = "Retry-After"
)

// Outcome is what became of a request.
type Outcome string

// The outcomes of a request.
const (
	Answered Outcome = "answer"
	NotRun   Outcome = "notRun"
	Unknown  Outcome = "unknown"
)

const (
	defaultMaxRequests  = 4096
	defaultMaxBodyBytes = 1 << 20
	defaultTimeout      = 30 * time.Second
	maxTimeout          = 10 * time.Minute
	dialTimeout         = time.Second
	maxIdlePerServer    = 64
	maxHeaderBytes      = 64 << 10
)

// Config is what a gateway needs. Zero numbers take defaults.
type Config struct {
	Self         model.InstanceID
	Zone         string
	MaxRequests  int
	MaxBodyBytes int
	// Claim asks the replicas of an idempotency key.
	Claim func(context.Context, claim.Key, claim.Record) (claim.Record, error)
	// IsMember reports whether an instance still takes part.
	IsMember func(model.InstanceID) bool
	Log      *logrus.Entry
}

// Service is one service with its backend servers.
type Service struct {
	model.Service
	Servers []model.BackendServer
}

// View is the configuration of a gateway.
type View struct{ Services []Service }

// Gateway serves requests.
type Gateway struct {
	cfg       Config
	transport *http.Transport
	mu        sync.Mutex
	pools     map[string]*pool
	inFlight  atomic.Int64
	draining  atomic.Bool
	outcomes  *prometheus.CounterVec
	seconds   *prometheus.HistogramVec
	retries   prometheus.Counter
}

// New returns a gateway without services.
func New(cfg Config) *Gateway {
	if cfg.MaxRequests == 0 {
		cfg.MaxRequests = defaultMaxRequests
	}
	if cfg.MaxBodyBytes == 0 {
		cfg.MaxBodyBytes = defaultMaxBodyBytes
	}
	g := &Gateway{
		cfg:   cfg,
		pools: map[string]*pool{},
		transport: &http.Transport{
			DialContext:            (&net.Dialer{Timeout: dialTimeout}).DialContext,
			MaxIdleConnsPerHost:    maxIdlePerServer,
			DisableCompression:     true,
			MaxResponseHeaderBytes: maxHeaderBytes,
			Proxy:                  nil,
		},
	}
	g.initMetrics()
	return g
}

func (g *Gateway) initMetrics() {
	g.outcomes = prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: "boragepost", Subsystem: "gateway", Name: "requests_total",
		Help: "Requests by service and outcome."}, []string{"service", "outcome"})
	g.seconds = prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Namespace: "boragepost", Subsystem: "gateway", Name: "request_seconds",
		Help: "Time from a request's arrival to the end of its answer."}, []string{"service"})
	g.retries = prometheus.NewCounter(prometheus.CounterOpts{
		Namespace: "boragepost", Subsystem: "gateway", Name: "retries_total",
		Help: "Requests sent again to another backend server."})
}

// Register adds the gateway's metrics to a registry.
func (g *Gateway) Register(reg *prometheus.Registry) {
	reg.MustRegister(g.outcomes, g.seconds, g.retries)
}

// Apply puts a configuration in force.
func (g *Gateway) Apply(v View) {
	g.mu.Lock()
	defer g.mu.Unlock()
	next := make(map[string]*pool, len(v.Services))
	for _, svc := range v.Services {
		p := g.pools[svc.Name]
		if p == nil {
			p = newPool(g.cfg.Zone)
		}
		p.apply(svc)
		next[svc.Name] = p
	}
	g.pools = next
}

func (g *Gateway) pool(service string) *pool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.pools[service]
}

// Drain refuses new requests and waits until those in flight have ended. It
// returns the error of ctx when that takes too long.
func (g *Gateway) Drain(ctx context.Context) error {
	g.draining.Store(true)
	ticker := time.NewTicker(drainInterval)
	defer ticker.Stop()
	for g.inFlight.Load() > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

const drainInterval = 10 * time.Millisecond
