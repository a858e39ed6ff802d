// Package gate implements the HTTP gateway: it selects a backend server for each
// request, forwards the request, and reports exactly one of three outcomes to the
// caller.
//
// The header Boragepost-Outcome names the outcome:
//
//   - answer: the body is the complete response of the backend server.
//   - notRun: no backend server ran the request, and none will.
//   - unknown: the request may or may not have run. It is not retried.
//
// A request names its service in the Host header. Request-Timeout gives the
// caller's timeout in seconds. A request with a non-idempotent method and an
// Idempotency-Key runs at most once, no matter through which gateways it is sent
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
	// HeaderShed on a 503 response marks load shedding: the backend server did
	// not run the request.
	HeaderShed = "Retry-After"
)

// Outcome is the outcome of a request.
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

// Config configures a gateway. Zero limits select the defaults.
type Config struct {
	Self         model.InstanceID
	Zone         string
	MaxRequests  int
	MaxBodyBytes int
	// Claim sends a claim to the replicas of an idempotency key and returns the
	// record that they store.
	Claim func(context.Context, claim.Key, claim.Record) (claim.Record, error)
	// IsMember reports whether an instance is in the membership.
	IsMember func(model.InstanceID) bool
	Log      *logrus.Entry
}

// Service is a service with its backend servers.
type Service struct {
	model.Service
	Servers []model.BackendServer
	// Evacuated holds the availability zones whose backend servers get no new requests.
	Evacuated map[string]bool
}

// View is the part of the replicated state that a gateway uses.
type View struct{ Services []Service }

// Gateway is the HTTP handler that forwards requests to backend servers.
type Gateway struct {
	cfg       Config
	transport *http.Transport
	mu        sync.Mutex
	pools     map[string]*pool
	inFlight  atomic.Int64
	draining  atomic.Bool
	outcomes  *prometheus.CounterVec
	latency   *prometheus.HistogramVec
	retries   prometheus.Counter
	evacuated prometheus.Counter
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
	g.latency = prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Namespace: "boragepost", Subsystem: "gateway", Name: "request_seconds",
		Help: "Time from a request's arrival to the end of its answer."}, []string{"service"})
	g.retries = prometheus.NewCounter(prometheus.CounterOpts{
		Namespace: "boragepost", Subsystem: "gateway", Name: "retries_total",
		Help: "Requests sent again to another backend server."})
	g.evacuated = prometheus.NewCounter(prometheus.CounterOpts{
		Namespace: "boragepost", Subsystem: "gateway", Name: "evacuated_requests_total",
		Help: "Requests refused because all backend servers of the service are in evacuated zones."})
}

// Register adds the gateway's metrics to a registry.
func (g *Gateway) Register(reg *prometheus.Registry) {
	reg.MustRegister(g.outcomes, g.latency, g.retries, g.evacuated)
}

// Apply replaces the services and their backend servers. Statistics of backend
// servers that remain are kept.
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

// Drain rejects new requests and waits until those in flight have finished. It
// returns ctx's error if ctx ends first.
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
