package entry

import (
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"boragepost/core/flow"
	"boragepost/io/links"
)

// counters holds the packet and query counters.
type counters struct {
	forwarded, resolved, malformed            atomic.Int64
	sendErrors, receiveErrors, queriesDropped atomic.Int64
	noService, noServer, noLease, unverified  atomic.Int64
	zoneEvacuated                             atomic.Int64
}

func (c *counters) countDrop(reason flow.Reason) {
	switch reason {
	case flow.NoService:
		c.noService.Add(1)
	case flow.NoServer:
		c.noServer.Add(1)
	case flow.NoLease:
		c.noLease.Add(1)
	case flow.Unverified:
		c.unverified.Add(1)
	case flow.ZoneEvacuated:
		c.zoneEvacuated.Add(1)
	}
}

// newRegistry returns a registry with the instance's metrics.
func (e *Entry) newRegistry() *prometheus.Registry {
	reg := prometheus.NewRegistry()
	reg.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	counter := func(name, help string, labels prometheus.Labels, v *atomic.Int64) {
		reg.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
			Namespace: "boragepost", Subsystem: "entry", Name: name, Help: help, ConstLabels: labels},
			func() float64 { return float64(v.Load()) }))
	}
	c := &e.counters
	counter("forwarded_packets_total", "Packets forwarded by the table or a known flow.", nil, &c.forwarded)
	counter("resolved_packets_total", "Packets forwarded after a question to a record keeper.", nil, &c.resolved)
	counter("malformed_packets_total", "Datagrams that could not be read.", nil, &c.malformed)
	counter("send_errors_total", "Failed writes of datagrams.", nil, &c.sendErrors)
	counter("receive_errors_total", "Failed reads of datagrams.", nil, &c.receiveErrors)
	counter("dropped_queries_total", "Undecided packets dropped because the queue was full.", nil, &c.queriesDropped)
	for reason, v := range map[flow.Reason]*atomic.Int64{
		flow.NoService: &c.noService, flow.NoServer: &c.noServer,
		flow.NoLease: &c.noLease, flow.Unverified: &c.unverified, flow.ZoneEvacuated: &c.zoneEvacuated,
	} {
		counter("dropped_packets_total", "Packets dropped by reason.", prometheus.Labels{"reason": string(reason)}, v)
	}
	for purpose, m := range map[string]*links.Meter{
		"control": &e.traffic.control, "records": &e.traffic.records, "claims": &e.traffic.claims,
	} {
		labels := prometheus.Labels{"purpose": purpose}
		counter("link_sent_bytes_total", "Payload bytes sent on links.", labels, &m.Sent)
		counter("link_received_bytes_total", "Payload bytes received on links.", labels, &m.Received)
	}
	e.registerGauges(reg)
	e.gateway.Register(reg)
	return reg
}

func (e *Entry) registerGauges(reg *prometheus.Registry) {
	gauge := func(name, help string, value func() float64) {
		reg.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Namespace: "boragepost", Subsystem: "entry", Name: name, Help: help}, value))
	}
	gauge("flows", "Established flows that the instance remembers.", func() float64 {
		established, _ := e.balancer.Flows()
		return float64(established)
	})
	gauge("half_open_flows", "Flows of which only starting packets were seen.", func() float64 {
		_, halfOpen := e.balancer.Flows()
		return float64(halfOpen)
	})
	gauge("has_lease", "1 while the instance holds a lease.", func() float64 {
		if e.balancer.HasLease(e.now()) {
			return 1
		}
		return 0
	})
	gauge("applied_version", "Log index in force at the instance.", func() float64 { return float64(e.applied.Load()) })
	gauge("evacuation_revision", "Revision of the evacuated zones; 0 before the first set.", func() float64 {
		return float64(e.evacuationRevision.Load())
	})
	loopGauge := func(name, help string, value func() float64) {
		gauge(name, help, func() (v float64) {
			e.callOnLoop(func() { v = value() })
			return v
		})
	}
	loopGauge("flow_records", "Flow records held for shards.", func() float64 { return float64(e.agent.Records()) })
	loopGauge("evacuated_zones", "Evacuated availability zones.", func() float64 { return float64(len(e.state.Evacuations())) })
	loopGauge("claims", "Request claims held for shards.", func() float64 { return float64(e.claims.Len()) })
	loopGauge("gathering_shards", "Shards that are being rebuilt here.", func() float64 {
		return float64(e.agent.SyncingShards() + e.claims.SyncingShards())
	})
	loopGauge("questions", "Questions to record keepers since the start.", func() float64 {
		return float64(e.agent.Counts().QueriesSent)
	})
	loopGauge("expired_questions", "Questions without an answer in time.", func() float64 {
		return float64(e.agent.Counts().Expired)
	})
	loopGauge("refused_questions", "Questions not asked because too many were open.", func() float64 {
		return float64(e.agent.Counts().Refused)
	})
}
