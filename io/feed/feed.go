// Package feed tells subscribers what is in force: the configuration, as deltas
// against what each has, and the backend servers that changed.
//
// Control replicas feed entry instances. An entry instance that has lost every
// replica is fed by another entry instance, so a Hub tells its subscribers of a few
// others. Records of backend servers may arrive in any order and more than once;
// configurations go forward only.
//
// # Usage
//
//	hub := &feed.Hub{All: all, Digest: digest}
//	mux.Handle(proto.RelayPath, hub.Handler(ctx, &meter))
//	hub.Configure(configuration)
//	hub.Push(changed)
package feed

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"

	"github.com/sirupsen/logrus"

	"boragepost/core/config"
	"boragepost/core/load"
	"boragepost/core/roster"
	"boragepost/io/links"
	"boragepost/io/proto"
)

// peersPerSubscriber is the number of other subscribers that each is told of: enough that
// one is likely to live and to have replicas when some are lost together.
const peersPerSubscriber = 4

type conn = links.Conn[proto.Update, proto.ToFeed]

// Hub feeds its subscribers. It needs All and Digest; otherwise the zero value has
// nothing to tell.
type Hub struct {
	// AllServers returns every record of a backend server.
	AllServers func() []roster.Server
	// Digest returns the digest of those records. A subscriber that has it gets
	// only what changes from then on.
	Digest func() uint64
	// OnFailures, if set, is told of the failed requests that subscribers have seen.
	OnFailures func([]load.Failures)
	// Log, if set, is told of subscribers that come and go.
	Log *logrus.Entry

	mu          sync.Mutex
	config      config.Configuration
	replicas    []string
	contact     bool
	subscribers map[*subscriber]bool
	gatherer    Batcher
	// whole is every record, encoded for new subscribers; nil when outdated.
	whole *links.Encoded[proto.Update]
	// pushes counts the calls of Push, to notice those during a call of All.
	pushes uint64
}

// subscriber is one linked entry instance.
type subscriber struct {
	conn    *conn
	address string
	zone    string
	sent    config.Configuration // the configuration that it has
	peers   []string
}

// Handler accepts the links of subscribers until ctx ends.
func (h *Hub) Handler(ctx context.Context, meter *links.Meter) http.Handler {
	return links.HeartbeatHandler(ctx, meter, proto.LinkHeartbeat, h.serve)
}

// SubscriberCount returns the number of subscribers.
func (h *Hub) SubscriberCount() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.subscribers)
}

// Configure tells the subscribers of a configuration, unless a newer one is known.
func (h *Hub) Configure(c config.Configuration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if c.Version <= h.config.Version {
		return
	}
	h.config = c
	deltas := map[uint64]links.Encoded[proto.Update]{} // by the version they start from
	for s := range h.subscribers {
		if s.sent.Version >= c.Version {
			continue
		}
		e, ok := deltas[s.sent.Version]
		if !ok {
			delta := config.Diff(s.sent, c)
			e = h.encode(proto.Update{Config: &delta})
			deltas[s.sent.Version] = e
		}
		s.sent = c
		s.conn.SendEncoded(e)
	}
}

// PublishServers tells the subscribers of records that changed, together with others that
// change within a moment.
func (h *Hub) PublishServers(changed []roster.Server) {
	if len(changed) == 0 {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.whole = nil
	h.pushes++
	h.gatherer.Add(changed, h.tellServers)
}

func (h *Hub) tellServers(servers []roster.Server) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.tell(proto.Update{Servers: servers})
}

// encode encodes an update. A failure is a fault of the program, since updates hold
// plain values.
func (h *Hub) encode(m proto.Update) links.Encoded[proto.Update] {
	e, err := links.Encode(m)
	if err != nil && h.Log != nil {
		h.Log.WithError(err).Error("updateNotEncoded")
	}
	return e
}

// PublishEjections tells the subscribers which backend servers to avoid.
func (h *Hub) PublishEjections(ejections []load.Ejection) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.tell(proto.Update{Ejections: ejections})
}

// SetReplicas tells the subscribers where the control replicas are.
func (h *Hub) SetReplicas(addresses []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	changed := !slices.Equal(addresses, h.replicas)
	h.replicas = addresses
	if changed {
		h.tell(proto.Update{Replicas: addresses})
	}
}

// SetContact tells the subscribers whether what they are fed is up to date: there
// is contact to a leader. It reports whether that changed.
func (h *Hub) SetContact(contact bool) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	changed := contact != h.contact
	h.contact = contact
	if changed {
		h.tell(proto.Update{Contact: &contact})
	}
	return changed
}

// tell sends an update to every subscriber. The hub must be locked.
func (h *Hub) tell(m proto.Update) {
	if len(h.subscribers) == 0 {
		return
	}
	e := h.encode(m)
	for s := range h.subscribers {
		s.conn.SendEncoded(e)
	}
}

// serve feeds one subscriber until its link ends.
func (h *Hub) serve(c *conn) {
	first, ok := <-c.Messages()
	if !ok || first.Subscribe == nil {
		return
	}
	hello := *first.Subscribe
	s := &subscriber{conn: c, address: hello.Address, zone: hello.Zone}
	h.join(s, hello.Version)
	if hello.Digest == 0 || hello.Digest != h.Digest() {
		// Records that are pushed from now on may overtake these.
		c.SendEncoded(h.everything())
	}
	h.note("instanceLinked", hello)
	for m := range c.Messages() {
		if len(m.Failures) > 0 && h.OnFailures != nil {
			h.OnFailures(m.Failures)
		}
	}
	h.leave(s)
	h.note("instanceUnlinked", hello)
}

// everything returns all records, encoded once for all subscribers that come before
// the next change.
func (h *Hub) everything() links.Encoded[proto.Update] {
	h.mu.Lock()
	whole, pushes := h.whole, h.pushes
	h.mu.Unlock()
	if whole != nil {
		return *whole
	}
	e := h.encode(proto.Update{Servers: h.AllServers()})
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.pushes == pushes {
		h.whole = &e
	}
	return e
}

func (h *Hub) note(event string, hello proto.Subscribe) {
	if h.Log == nil {
		return
	}
	h.Log.WithFields(logrus.Fields{
		"instance": hello.Instance, "zone": hello.Zone, "version": hello.Version}).Info(event)
}

// join sends a new subscriber the configuration that it lacks and adds it.
func (h *Hub) join(s *subscriber, version uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	contact := h.contact
	first := proto.Update{Replicas: h.replicas, Contact: &contact}
	if h.config.Version > 0 {
		s.sent = h.config
		if version != h.config.Version {
			delta := config.Diff(config.Configuration{}, h.config)
			first.Config = &delta
		}
	}
	s.conn.Send(first)
	if h.subscribers == nil {
		h.subscribers = map[*subscriber]bool{}
	}
	h.subscribers[s] = true
	h.introduce()
}

func (h *Hub) leave(s *subscriber) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.subscribers, s)
	for other := range h.subscribers {
		other.peers = slices.DeleteFunc(other.peers, func(a string) bool { return a == s.address })
	}
	h.introduce()
}

// introduce gives neighbours to the subscribers that have too few. Those of other
// availability zones come first: what cuts one off may cut off its whole zone.
func (h *Hub) introduce() {
	for s := range h.subscribers {
		if len(s.peers) >= peersPerSubscriber {
			continue
		}
		before := len(s.peers)
		for _, other := range h.candidates(s) {
			if len(s.peers) < peersPerSubscriber {
				s.peers = append(s.peers, other.address)
			}
		}
		if len(s.peers) > before {
			s.conn.Send(proto.Update{Peers: slices.Clone(s.peers)})
		}
	}
}

// candidates returns the subscribers that s has not been told of, in random order,
// those of other availability zones first.
func (h *Hub) candidates(s *subscriber) []*subscriber {
	var near, far []*subscriber
	for other := range h.subscribers {
		known := other.address == "" || other.address == s.address || slices.Contains(s.peers, other.address)
		switch {
		case known:
		case other.zone == s.zone:
			near = append(near, other)
		default:
			far = append(far, other)
		}
	}
	shuffle(near)
	shuffle(far)
	return append(far, near...)
}

func shuffle(s []*subscriber) {
	rand.Shuffle(len(s), func(i, j int) { s[i], s[j] = s[j], s[i] })
}
