package ctrl

import (
	"boragepost/core/model"
	"boragepost/io/links"
	"boragepost/io/proto"
)

// feed streams committed commands to linked entry instances. It buffers the
// latest ones, so that most instances can resume without a snapshot.
type feed struct {
	compactedIndex uint64 // index before the first buffered command
	commands       []proto.Applied
	conns          map[*entryConn]uint64 // last index sent
}

func newFeed(compactedIndex uint64) feed {
	return feed{compactedIndex: compactedIndex, conns: map[*entryConn]uint64{}}
}

func (f *feed) add(a proto.Applied) {
	f.commands = append(f.commands, a)
	if len(f.commands) > 2*feedCapacity {
		cut := len(f.commands) - feedCapacity
		f.compactedIndex = f.commands[cut-1].Index
		f.commands = append([]proto.Applied(nil), f.commands[cut:]...)
	}
}

// push sends every instance the commands that it has not been sent yet.
func (f *feed) push() {
	for c, sent := range f.conns {
		f.conns[c] = f.sendAfter(c, sent)
	}
}

func (f *feed) sendAfter(c *entryConn, sent uint64) uint64 {
	from := int(sent - f.compactedIndex)
	if from >= len(f.commands) {
		return sent
	}
	batch := append([]proto.Applied(nil), f.commands[from:]...)
	c.Send(proto.ToEntry{Commands: batch})
	return batch[len(batch)-1].Index
}

// canResumeAfter reports whether the feed can resume after an index.
func (f *feed) canResumeAfter(index uint64) bool {
	return index >= f.compactedIndex && index <= f.compactedIndex+uint64(len(f.commands))
}

func (f *feed) closeAll() {
	for c := range f.conns {
		c.Close()
	}
	clear(f.conns)
}

// entryConn is the link to an entry instance.
type entryConn = links.Conn[proto.ToEntry, proto.ToControl]

// serveEntry handles the link of an entry instance. While the disk cannot be written, the
// link is closed, so that the instance turns to another replica.
func (r *Replica) serveEntry(c *entryConn) {
	if r.retrier.Failing() {
		return
	}
	defer r.post(func() { delete(r.feed.conns, c) })
	for m := range c.Messages() {
		if !r.post(func() { r.handleEntry(c, m) }) {
			return
		}
	}
}

func (r *Replica) handleEntry(c *entryConn, m proto.ToControl) {
	switch {
	case m.Hello != nil:
		r.handleHello(c, *m.Hello)
	case m.Heartbeat != nil:
		seq := m.Heartbeat.Seq
		r.sendToLeader(proto.Forward{Heartbeat: &m.Heartbeat.Heartbeat}, func(reply proto.Reply) {
			if reply.Grant != nil {
				reply.Grant.Seq = seq
				c.Send(proto.ToEntry{Grant: reply.Grant})
			}
		})
	case len(m.Renew) > 0:
		r.sendToLeader(proto.Forward{Renew: m.Renew}, func(proto.Reply) {})
	case m.Announce != nil:
		r.handleAnnounce(c, *m.Announce)
	}
}

// handleHello starts the feed of an instance, with a snapshot if the instance
// is too far behind. The link of an instance that is ahead of this replica is
// closed.
func (r *Replica) handleHello(c *entryConn, h proto.Hello) {
	sent := h.Applied
	if h.Applied < r.feed.compactedIndex {
		data, err := r.state.RoutingSnapshot()
		if err != nil {
			c.Close()
			return
		}
		c.Send(proto.ToEntry{Snapshot: data})
		sent = r.state.Index()
	}
	if !r.feed.canResumeAfter(sent) {
		// The instance reconnects to this or another replica.
		c.Close()
		return
	}
	r.feed.conns[c] = r.feed.sendAfter(c, sent)
}

func (r *Replica) handleAnnounce(c *entryConn, a proto.Announce) {
	cmd := model.Command{Actor: "backendServer/" + a.Server.Name, Announce: &model.Announce{Server: a.Server}}
	reply := func(result model.Result, failure string) {
		c.Send(proto.ToEntry{Announced: &proto.Announced{ID: a.ID, Result: result, Error: failure}})
	}
	r.sendToLeader(proto.Forward{Command: &cmd}, func(got proto.Reply) {
		if got.Result == nil {
			reply(model.Result{}, "no quorum")
			return
		}
		reply(*got.Result, "")
	})
}
