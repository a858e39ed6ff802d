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
// tell, and lets all entry instances avoid them for some time. The leader judges, so
// that what the whole fleet has seen counts together. It needs no quorum: a replica
// without a leader judges by what its own entry instances have seen.
type outliers struct {
	r *Replica
	// leader is the one that is known, which the loop keeps up to date: nothing here
	// waits for the loop, which may wait for the disk.
	leader atomic.Pointer[string]
	mu     sync.Mutex
	jury   load.Jury
}

// report takes in what an entry instance has seen, and passes it on to the leader.
func (o *outliers) report(seen []load.Shorts) {
	leader := o.leader.Load()
	if leader == nil || *leader == o.r.id || !o.r.mesh.send(*leader, proto.ToPlane{Shorts: seen}) {
		o.hear(seen)
	}
}

// hear judges by what an entry instance has seen.
func (o *outliers) hear(seen []load.Shorts) {
	ready := o.r.registry.count(roster.Ready)
	o.mu.Lock()
	verdicts := o.jury.Hear(o.r.now(), ready, seen)
	o.mu.Unlock()
	if len(verdicts) == 0 {
		return
	}
	for _, v := range verdicts {
		o.r.log.WithField("server", logs.ServerName(v.ID)).WithField("for", v.For).WithField("ready", ready).
			Info("serverAvoided")
	}
	o.r.mesh.broadcast(proto.ToPlane{Avoid: verdicts})
	o.r.registry.hub.Avoid(verdicts)
}

func (o *outliers) expire(now time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.jury.Expire(now)
}
