package plane

import (
	"context"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"boragepost/core/config"
	"boragepost/core/quorum"
	"boragepost/io/proto"
)

// evacuationWaiter is a call of Evacuate that waits until its order holds after an order
// that was committed since. Only the event loop uses it.
type evacuationWaiter struct {
	order config.EvacuationOrder
	since uint64        // revision when the wait began
	armed bool          // the wait has begun
	done  chan struct{} // closed when the order holds
	ended bool          // done is closed
	left  bool          // the call has returned
}

// check ends the wait if the order holds in a set.
func (w *evacuationWaiter) check(e config.Evacuations) {
	if !w.ended && e.Revision > w.since && w.order.HoldsIn(e) {
		w.ended = true
		close(w.done)
	}
}

// Evacuate orders that the backend servers of an availability zone get no new flows,
// or, with evacuate false, ends that. It returns nil once the order, or one with the same
// result, is committed, hence durable, and applied here. It
// returns ErrNoQuorum when this does not happen before ctx ends. The order may still
// come into force within a moment after that, but not after a later order for the zone;
// giving it again is safe.
func (r *Replica) Evacuate(ctx context.Context, zone string, evacuate bool) error {
	start := r.now()
	err := r.evacuateUntilApplied(ctx, config.EvacuationOrder{Zone: zone, End: !evacuate})
	r.counters.evacuations.WithLabelValues(outcome(err)).Inc()
	r.counters.evacuateSeconds.Observe((r.now() - start).Seconds())
	return err
}

// CountRefusedEvacuation counts an evacuation order that was rejected as invalid.
func (r *Replica) CountRefusedEvacuation() { r.counters.evacuations.WithLabelValues(refused).Inc() }

// evacuateUntilApplied reads the set and repeats the order until an order has taken effect
// after which it holds. That includes an order that holds already: its log entry voids the
// orders that were given before and may still arrive at the leader. Each repetition is
// based on the revision that is applied here, and the waiter has observed each change since
// the read. So an order never takes effect after one that undoes it.
func (r *Replica) evacuateUntilApplied(ctx context.Context, order config.EvacuationOrder) error {
	w := &evacuationWaiter{order: order, done: make(chan struct{})}
	defer r.enqueue(r.ctx, func() { r.removeEvacuationWaiter(w) })
	arm := func(s config.State) struct{} {
		if !w.armed && !w.left {
			w.armed, w.since = true, s.Evacuations.Revision
			r.evacuationWaiters = append(r.evacuationWaiters, w)
		}
		return struct{}{}
	}
	if _, err := readState(ctx, r, arm); err != nil {
		return err
	}
	retry := time.NewTicker(proposeRetryInterval)
	defer retry.Stop()
	for {
		var changed chan struct{}
		if !r.runOnLoop(ctx, func() {
			changed = r.evacuationsChanged
			if !w.ended {
				order.Base = r.state.Evacuations.Revision
				r.orderOrForward(order)
			}
		}) {
			return ErrNoQuorum
		}
		select {
		case <-w.done:
			return nil
		case <-changed: // another order has taken effect first
		case <-retry.C:
		case <-ctx.Done():
			return ErrNoQuorum
		}
	}
}

func (r *Replica) removeEvacuationWaiter(w *evacuationWaiter) {
	w.left = true
	r.evacuationWaiters = slices.DeleteFunc(r.evacuationWaiters, func(o *evacuationWaiter) bool { return o == w })
}

// orderOrForward appends an order to the log if this replica leads, and otherwise sends
// it to the leader.
func (r *Replica) orderOrForward(order config.EvacuationOrder) {
	if r.node.Role() != quorum.Leader {
		r.mesh.send(r.node.Leader(), proto.ToPlane{Evacuation: &order})
		return
	}
	if order.Base < r.state.Evacuations.Revision {
		return // without effect; the replica that received it sends another
	}
	data, err := cbor.Marshal(config.Command{Evacuation: &order})
	if err != nil {
		r.log.WithError(err).WithField("zone", order.Zone).Error("evacuationNotEncoded")
		return
	}
	r.node.Propose(data)
}

// handleEvacuation appends an order from another replica if this replica leads.
func (r *Replica) handleEvacuation(order config.EvacuationOrder) {
	if r.node.Role() == quorum.Leader {
		r.orderOrForward(order)
	}
}

// observeEvacuations ends the waits for orders that hold now. It is called after each
// change, so that an order that is undone by the next one counts as well.
func (r *Replica) observeEvacuations() {
	for _, w := range r.evacuationWaiters {
		w.check(r.state.Evacuations)
	}
}

// publishEvacuations publishes the sets that were applied together, of which the first is
// the one before. A replica that catches up may apply an evacuation and its end together,
// and its subscribers must see the end. The records of the backend servers in zones that
// return change before the set, so that an instance which subscribes with the new set, and
// does not notice the end of an evacuation, receives them as warming. Sets that were
// published before a restart are in the checkpoint: if these ended evacuations, that may
// have been long ago.
func (r *Replica) publishEvacuations(sets []config.Evacuations) {
	before, e := sets[0], r.state.Evacuations
	close(r.evacuationsChanged)
	r.evacuationsChanged = make(chan struct{})
	r.evacuations.Store(&e)
	published := r.registry.hub.State().Evacuations.Revision
	for i, next := range sets[1:] {
		if next.Revision <= published {
			continue
		}
		for _, zone := range sets[i].Missing(next) {
			r.TreatAsCold(zone, next.Revision)
		}
		r.registry.hub.SetEvacuations(next)
	}
	r.registry.saveSoon()
	r.counters.evacuated.Set(e.Zones)
	r.log.WithField("revision", e.Revision).WithField("zones", e.Zones).WithField("former", before.Revision).
		Info("evacuationInForce")
}

// Evacuations returns the evacuated zones that this replica has applied, which may be
// out of date.
func (r *Replica) Evacuations() config.Evacuations { return *r.evacuations.Load() }

// ReadEvacuations returns the evacuated zones by a linearizable read, with the errors
// of ReadLatest.
func (r *Replica) ReadEvacuations(ctx context.Context) (config.Evacuations, error) {
	return readState(ctx, r, func(s config.State) config.Evacuations { return s.Evacuations })
}
