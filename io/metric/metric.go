// Package metric creates the Prometheus metrics of a role. All metrics of a role
// share a registry and have the role's name as their subsystem.
//
// # Usage
//
//	set := metric.New("relay")
//	opened := set.Counter("flows_placed_total", "Opening packets given to a backend server.")
//	http.Handle("/metrics", set.Handler())
package metric

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// Set is the set of metrics of one role.
type Set struct {
	role     string
	registry *prometheus.Registry
}

// New returns a set that contains the metrics of the Go runtime.
func New(role string) *Set {
	s := &Set{role: role, registry: prometheus.NewRegistry()}
	s.registry.MustRegister(collectors.NewGoCollector())
	return s
}

// Handler returns a handler that serves the metrics.
func (s *Set) Handler() http.Handler {
	return promhttp.HandlerFor(s.registry, promhttp.HandlerOpts{})
}

// Counter adds a counter.
func (s *Set) Counter(name, help string) prometheus.Counter {
	return register(s, prometheus.NewCounter(prometheus.CounterOpts(s.options(name, help))))
}

// LabeledCounter adds a counter that is partitioned by a label.
func (s *Set) LabeledCounter(name, help, label string) *prometheus.CounterVec {
	return register(s, prometheus.NewCounterVec(prometheus.CounterOpts(s.options(name, help)), []string{label}))
}

// LabelSet is a set of values of a label, with a gauge that is 1 for each value in the
// set and absent for others.
type LabelSet struct{ gauge *prometheus.GaugeVec }

// LabelSet adds a set of values of a label, which is empty at first.
func (s *Set) LabelSet(name, help, label string) *LabelSet {
	return &LabelSet{gauge: register(s, prometheus.NewGaugeVec(prometheus.GaugeOpts(s.options(name, help)), []string{label}))}
}

// Set replaces the set.
func (l *LabelSet) Set(values []string) {
	l.gauge.Reset()
	for _, v := range values {
		l.gauge.WithLabelValues(v).Set(1)
	}
}

// LabeledGauge adds a gauge that is partitioned by labels.
func (s *Set) LabeledGauge(name, help string, labels ...string) *prometheus.GaugeVec {
	return register(s, prometheus.NewGaugeVec(prometheus.GaugeOpts(s.options(name, help)), labels))
}

// GaugeFunc adds a gauge whose value is computed at each scrape.
func (s *Set) GaugeFunc(name, help string, value func() float64) {
	register(s, prometheus.NewGaugeFunc(prometheus.GaugeOpts(s.options(name, help)), value))
}

// BoolGaugeFunc adds a gauge that is 1 if value returns true and 0 otherwise.
func (s *Set) BoolGaugeFunc(name, help string, value func() bool) {
	s.GaugeFunc(name, help, func() float64 {
		if value() {
			return 1
		}
		return 0
	})
}

// Histogram adds a histogram of seconds.
func (s *Set) Histogram(name, help string, buckets []float64) prometheus.Histogram {
	return register(s, prometheus.NewHistogram(prometheus.HistogramOpts{
		Namespace: namespace, Subsystem: s.role, Name: name, Help: help, Buckets: buckets}))
}

const namespace = "boragepost"

func (s *Set) options(name, help string) prometheus.Opts {
	return prometheus.Opts{Namespace: namespace, Subsystem: s.role, Name: name, Help: help}
}

func register[C prometheus.Collector](s *Set, c C) C {
	s.registry.MustRegister(c)
	return c
}
