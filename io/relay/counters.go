package relay

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"boragepost/core/roster"
	"boragepost/io/links"
)

// counters are the metrics of an entry instance. docs/OPERATIONS.md says what
// each holds.
type counters struct {
	registry      *prometheus.Registry
	forwarded     prometheus.Counter
	opened        prometheus.Counter
	repeated      prometheus.Counter
	held          prometheus.Counter
	malformed     prometheus.Counter
	receiveErrors prometheus.Counter
	sendErrors    prometheus.Counter
	resets        *prometheus.CounterVec
	dropped       *prometheus.CounterVec
	holdSeconds   prometheus.Histogram
	answerSeconds prometheus.Histogram
	meter         links.Meter
}

// answerBuckets are in seconds, from a fast answer to a caller's longest deadline.
var answerBuckets = []float64{.005, .01, .02, .05, .1, .2, .5, 1, 2, 5}

func newCounters(r *Relay) *counters {
	c := &counters{registry: prometheus.NewRegistry()}
	c.registry.MustRegister(collectors.NewGoCollector())
	counter := func(name, help string) prometheus.Counter {
		m := prometheus.NewCounter(options(name, help))
		c.registry.MustRegister(m)
		return m
	}
	byReason := func(name, help string) *prometheus.CounterVec {
		m := prometheus.NewCounterVec(options(name, help), []string{"reason"})
		c.registry.MustRegister(m)
		return m
	}
	histogram := func(name, help string) prometheus.Histogram {
		m := prometheus.NewHistogram(prometheus.HistogramOpts{
			Namespace: "boragepost", Subsystem: "relay", Name: name, Help: help, Buckets: answerBuckets})
		c.registry.MustRegister(m)
		return m
	}
	c.forwarded = counter("packets_forwarded_total", "Packets sent to backend servers.")
	c.opened = counter("flows_placed_total", "Opening packets given to a backend server, without copies.")
	c.repeated = counter("openings_repeated_total", "Copies of opening packets that had no answer.")
	c.held = counter("packets_held_total", "Packets held until the instance has learned where they go.")
	c.malformed = counter("packets_malformed_total", "Datagrams that are no packet.")
	c.receiveErrors = counter("receive_errors_total", "Failed reads of datagrams.")
	c.sendErrors = counter("send_errors_total", "Failed writes of datagrams.")
	c.resets = byReason("resets_total", "Resets sent to callers, by reason.")
	c.dropped = byReason("packets_dropped_total", "Packets that were dropped, by reason.")
	c.holdSeconds = histogram("hold_seconds", "How long held packets waited for a decision.")
	c.answerSeconds = histogram("answer_seconds", "Time from a request to the caller's acknowledgement of answer data.")
	c.gauges(r)
	return c
}

func options(name, help string) prometheus.CounterOpts {
	return prometheus.CounterOpts{Namespace: "boragepost", Subsystem: "relay", Name: name, Help: help}
}

func (c *counters) gauges(r *Relay) {
	gauge := func(name, help string, value func() float64) {
		c.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts(options(name, help)), value))
	}
	locked := func(f func() float64) func() float64 {
		return func() float64 {
			r.mu.Lock()
			defer r.mu.Unlock()
			return f()
		}
	}
	gauge("configuration_version", "Version in force; 0 before the first.", locked(func() float64 {
		held, _ := r.balancer.Config()
		return float64(held.Version)
	}))
	gauge("flows_tracked", "Flows of which the load is tracked.", locked(func() float64 {
		return float64(r.balancer.Load.Flows())
	}))
	for _, phase := range []roster.Phase{roster.Ready, roster.Draining, roster.Gone} {
		gauge("servers_"+phase.String(), "Backend servers known in this phase.", locked(func() float64 {
			return float64(r.balancer.Count(phase))
		}))
	}
	gauge("replicas_linked", "Control replicas that are linked.", func() float64 { return float64(r.upstream.linked()) })
	gauge("ready", "1 while the instance wants new flows.", func() float64 {
		if r.Ready() {
			return 1
		}
		return 0
	})
	gauge("link_bytes", "Payload bytes on links to control replicas, both ways.", func() float64 {
		return float64(c.meter.Total())
	})
}

// Metrics serves the instance's metrics as text.
func (r *Relay) Metrics() http.Handler {
	return promhttp.HandlerFor(r.counters.registry, promhttp.HandlerOpts{})
}
