package plane

import (
	"sync"
	"sync/atomic"
	"time"

	"boragepost/core/load"
	"boragepost/core/roster"
	"boragepost/io/logs"
	"boragepost/io/proto"
)

// outliers finds the backend servers that fail requests, from what entry instances
// report, and has all entry instances avoid them for some time. The leader decides, so
// that what the whole fleet has seen counts together. It needs no quorum: a replica
// without a leader decides by what its own entry instances have seen.
type outliers struct {
	r *Replica
	// leader is the one that is known, which the loop keeps up to date: nothing here
	// waits for the loop, which may wait for the disk.
	leader atomic.Pointer[string]
	mu     sync.Mutex
	found  load.OutlierDetector
}

// report takes in what an entry instance has seen, and passes it on to the leader.
func (o *outliers) report(seen []load.Failures) {
	leader := o.leader.Load()
	if leader == nil || *leader == o.r.id || !o.r.mesh.send(*leader, proto.ToPlane{Failures: seen}) {
		o.decide(seen)
	}
}

// decide ejects backend servers by what an entry instance has seen.
func (o *outliers) decide(seen []load.Failures) {
	ready := o.r.registry.count(roster.Ready)
	o.mu.Lock()
	ejections := o.found.Report(o.r.now(), ready, seen)
	o.mu.Unlock()
	if len(ejections) == 0 {
		return
	}
	for _, e := range ejections {
		o.r.log.WithField("server", logs.FormatServerID(e.ID)).WithField("for", e.Period).WithField("ready", ready).
			Info("serverEjected")
	}
	o.r.mesh.broadcast(proto.ToPlane{Ejections: ejections})
	o.r.registry.hub.PublishEjections(ejections)
}

func (o *outliers) expire(now time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.found.Expire(now)
}
