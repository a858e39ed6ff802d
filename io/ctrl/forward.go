package ctrl

import (
	"context"
	"fmt"
	"time"

	"boragepost/core/leader"
	"boragepost/core/model"
	"boragepost/core/quorum"
	"boragepost/io/links"
	"boragepost/io/proto"
)

// Submit proposes a command through the leader, whichever replica that is, and
// waits for the result. It returns ErrNoQuorum, ErrTimeout or ErrUnavailable if there is
// none.
func (r *Replica) Submit(ctx context.Context, c model.Command) (model.Result, error) {
	reply, err := r.callLeader(ctx, proto.Forward{Command: &c})
	if err != nil {
		return model.Result{}, err
	}
	if reply.Result == nil {
		return model.Result{}, ErrTimeout
	}
	return *reply.Result, nil
}

// callLeader sends a request to the leader and waits for the reply.
func (r *Replica) callLeader(ctx context.Context, f proto.Forward) (proto.Reply, error) {
	if r.retrier.Failing() {
		return proto.Reply{}, ErrUnavailable
	}
	replies := make(chan proto.Reply, 1)
	if !r.post(func() { r.sendToLeader(f, func(reply proto.Reply) { replies <- reply }) }) {
		return proto.Reply{}, ErrNoQuorum
	}
	timer := time.NewTimer(submitTimeout)
	defer timer.Stop()
	select {
	case reply := <-replies:
		if reply.Error != "" {
			return reply, fmt.Errorf("%w: %s", ErrNoQuorum, reply.Error)
		}
		return reply, nil
	case <-ctx.Done():
		return proto.Reply{}, ErrTimeout
	case <-timer.C:
		return proto.Reply{}, ErrTimeout
	}
}

// sendToLeader handles a request if this replica is the leader and forwards it
// to the leader otherwise. done is called at most once.
func (r *Replica) sendToLeader(f proto.Forward, done func(proto.Reply)) {
	if r.node.Role() == quorum.Leader {
		r.handleForward(f, done)
		return
	}
	peer := r.peers[r.node.Leader()]
	if peer == nil {
		done(proto.Reply{Error: "there is no leader"})
		return
	}
	r.lastForwardID++
	f.ID, f.From = r.lastForwardID, r.cfg.Settings.Name
	r.pendingForwards[f.ID] = done
	r.expireForwards()
	if !peer.Send(proto.ToReplica{Forward: &f}) {
		delete(r.pendingForwards, f.ID)
		done(proto.Reply{Error: "the leader is not linked"})
	}
}

const maxPendingForwards = 1 << 14

func (r *Replica) expireForwards() {
	if len(r.pendingForwards) <= maxPendingForwards {
		return
	}
	for id := range r.pendingForwards {
		if id+maxPendingForwards/2 < r.lastForwardID {
			delete(r.pendingForwards, id)
		}
	}
}

// handleForward handles a request at the leader.
func (r *Replica) handleForward(f proto.Forward, done func(proto.Reply)) {
	if r.reconciler == nil || !r.node.HasLease() {
		done(proto.Reply{ID: f.ID, Error: "the leader has no quorum"})
		return
	}
	switch {
	case f.Command != nil:
		r.propose(*f.Command, func(result *model.Result) {
			reply := proto.Reply{ID: f.ID, Result: result}
			if result == nil {
				reply.Error = "leadership was lost"
			}
			done(reply)
		})
	case f.Heartbeat != nil:
		grant := proto.Grant{Commit: r.node.Commit()}
		if r.reconciler.Heartbeat(r.now(), *f.Heartbeat, r.state) {
			timing := leader.Timing{InstanceLease: time.Duration(r.cfg.Settings.InstanceLease)}
			grant.LeaseMs = timing.WithDefaults().InstanceLease.Milliseconds()
		}
		done(proto.Reply{ID: f.ID, Grant: &grant})
	case len(f.Renew) > 0:
		r.reconciler.RenewServers(r.now(), f.Renew)
		done(proto.Reply{ID: f.ID})
	case f.Status:
		done(proto.Reply{ID: f.ID, Status: &proto.Status{
			Leader: r.cfg.Settings.Name, Term: r.node.Term(), Commit: r.node.Commit(),
			Zones: r.reconciler.AppliedByZone(r.now()),
		}})
	default:
		done(proto.Reply{ID: f.ID, Error: "empty request"})
	}
}

// serveReplica handles the link of another control replica.
func (r *Replica) serveReplica(c *links.Conn[proto.ToReplica, proto.ToReplica]) {
	for m := range c.Messages() {
		if !r.post(func() { r.handleReplica(m) }) {
			return
		}
	}
}

func (r *Replica) handleReplica(m proto.ToReplica) {
	switch {
	case m.Quorum != nil:
		if _, known := r.peers[m.Quorum.From]; known {
			r.node.Step(*m.Quorum)
		}
	case m.Forward != nil:
		peer := r.peers[m.Forward.From]
		if peer == nil {
			return
		}
		id := m.Forward.ID
		reply := func(reply proto.Reply) {
			reply.ID = id
			peer.Send(proto.ToReplica{Reply: &reply})
		}
		if r.node.Role() != quorum.Leader {
			reply(proto.Reply{Error: "not the leader"})
			return
		}
		r.handleForward(*m.Forward, reply)
	case m.Reply != nil:
		done := r.pendingForwards[m.Reply.ID]
		delete(r.pendingForwards, m.Reply.ID)
		if done != nil {
			done(*m.Reply)
		}
	}
}
