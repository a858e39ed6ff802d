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

// outliers evaluates the reports of entry instances to detect backend servers that
// fail requests, and ejects these at all entry instances for some time. The leader
// aggregates the reports of all replicas, so that failures seen by different
// instances count together. No quorum is needed: a replica without a leader evaluates
// the reports of its own entry instances.
type outliers struct {
	r *Replica
	// leader is the known leader. The event loop updates it, so that nothing here
	// has to wait for the loop, which may be waiting for the disk.
	leader   atomic.Pointer[string]
	mu       sync.Mutex
	detector load.OutlierDetector
}

// report forwards an entry instance's failure counts to the leader, or evaluates
// them here when this replica leads or the leader cannot be reached.
func (o *outliers) report(failures []load.Failures) {
	leader := o.leader.Load()
	if leader == nil || *leader == o.r.id || !o.r.mesh.send(*leader, proto.ToPlane{Failures: failures}) {
		o.detect(failures)
	}
}

// detect adds failure counts to the statistics and publishes the resulting
// ejections to the other replicas and the subscribed entry instances.
func (o *outliers) detect(failures []load.Failures) {
	ready := o.r.registry.count(roster.Ready)
	o.mu.Lock()
	ejections := o.detector.Report(o.r.now(), ready, failures)
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
	o.detector.Expire(now)
}
