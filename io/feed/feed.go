// Package feed publishes the configuration and the backend servers to subscribers. A
// subscriber receives configurations as deltas against its last one, and the records
// of backend servers that changed. A subscriber whose link is a standby receives only
// the version of the configuration; it may change between both at any time. All
// subscribers receive the evacuated availability zones.
//
// Entry instances subscribe to control replicas. An entry instance that has lost every
// replica subscribes to another entry instance, so a Hub sends each subscriber the
// addresses of a few others. Records of backend servers may arrive in any order and
// more than once; the version of the configuration only increases.
//
// # Usage
//
//	hub := &feed.Hub{AllServers: all, Digest: digest}
//	mux.Handle(proto.RelayPath, hub.Handler(ctx, &meter))
//	hub.Configure(configuration)
//	hub.SetEvacuations(evacuations)
//	hub.PublishServers(changed)
package feed

import (
	"context"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"boragepost/core/cold"
	"boragepost/core/config"
	"boragepost/core/load"
	"boragepost/core/roster"
	"boragepost/io/links"
	"boragepost/io/proto"
)

// peersPerSubscriber is the number of other subscribers whose addresses each
// subscriber gets: enough that one is likely to be up and connected to a replica when
// several instances or replicas fail together.
const peersPerSubscriber = 4

type conn = links.Conn[proto.Update, proto.ToFeed]

// Hub publishes updates to its subscribers. AllServers and Digest must be set; the
// other fields are optional.
type Hub struct {
	// AllServers returns the records of all backend servers.
	AllServers func() []roster.Server
	// Digest returns the digest of those records. A subscriber with the same digest
	// gets only later changes.
	Digest func() uint64
	// Differing, if set, returns the records in the buckets with other digests than
	// these. A subscriber that knows its digests gets only those records.
	Differing func(digests []uint64) []roster.Server
	// Warming, if set, returns the records of the backend servers that are warming.
	Warming func() []roster.Server
	// OnFailures, if set, is called with the request failures that a subscriber
	// reports.
	OnFailures func([]load.Failures)
	// Log, if set, records subscriptions, their ends and encoding errors.
	Log *logrus.Entry

	mu          sync.Mutex
	config      config.Configuration
	evacuations config.Evacuations
	// ended holds the sets of the last endedNotice that were replaced by one with fewer
	// zones, oldest first.
	ended       []endedEvacuations
	replicas    []string
	zones       map[string]string // of replicas, by address
	contact     bool
	subscribers map[*subscriber]bool
	batcher     Batcher
	// completeServers and completeConfig cache the encoded state for new subscribers.
	completeServers, completeConfig encodedUpdate
	// publishCount counts the calls of PublishServers, to detect those that run during a
	// call of AllServers.
	publishCount uint64
}

// subscriber is one linked entry instance.
type subscriber struct {
	conn    *conn
	address string
	zone    string
	name    string
	process uint64 // identifies it in grants for cold backend servers
	standby bool
	// compression is set if it accepts compressed updates.
	compression bool
	sent        config.Configuration // base of its next delta
	peers       []string
}

// Handler serves the links of subscribers until ctx ends.
func (h *Hub) Handler(ctx context.Context, meter *links.Meter) http.Handler {
	return links.HeartbeatHandler(ctx, meter, proto.LinkHeartbeat, h.serve)
}

// SubscriberCount returns the number of subscribers.
func (h *Hub) SubscriberCount() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.subscribers)
}

// Configure publishes a configuration if its version is above the current one.
func (h *Hub) Configure(c config.Configuration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if c.Version <= h.config.Version {
		return
	}
	h.config = c
	h.completeConfig = encodedUpdate{}
	deltas := map[uint64]links.Encoded[proto.Update]{} // by base version
	notice := h.encode(proto.Update{Version: c.Version})
	for s := range h.subscribers {
		if s.standby {
			s.conn.SendEncoded(notice)
			continue
		}
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

// SetEvacuations publishes a set of evacuated zones if its revision is above the
// current one.
func (h *Hub) SetEvacuations(e config.Evacuations) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if e.Revision <= h.evacuations.Revision {
		return
	}
	h.expireEnded()
	if len(h.evacuations.Missing(e)) > 0 {
		h.ended = append(h.ended, endedEvacuations{set: h.evacuations, at: time.Now()})
	}
	h.evacuations = e
	h.broadcast(proto.Update{Evacuations: &e}, everyone)
}

// endedEvacuations is a set that was replaced by one with fewer zones.
type endedEvacuations struct {
	set config.Evacuations
	at  time.Time
}

// endedNotice is how long after the end of an evacuation new subscribers are told of it. The
// zone's backend servers may have become cold shortly before, and announce that up to 1.2 s
// later; one such announcement may be lost.
const endedNotice = 3 * time.Second

// expireEnded forgets the evacuations that ended more than endedNotice ago. h.mu must be held.
func (h *Hub) expireEnded() {
	h.ended = slices.DeleteFunc(h.ended, func(e endedEvacuations) bool { return time.Since(e.at) > endedNotice })
}

// State returns the configuration and the evacuated zones that were last published.
func (h *Hub) State() config.State {
	h.mu.Lock()
	defer h.mu.Unlock()
	return config.State{Configuration: h.config, Evacuations: h.evacuations}
}

// PublishServers publishes changed records, batched with others that change shortly
// afterwards.
func (h *Hub) PublishServers(changed []roster.Server) {
	if len(changed) == 0 {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.completeServers = encodedUpdate{}
	h.publishCount++
	h.batcher.Add(changed, h.broadcastServers)
}

// ResetServers makes new subscribers get the present records, although none was
// published.
func (h *Hub) ResetServers() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.completeServers = encodedUpdate{}
	h.publishCount++
}

func (h *Hub) broadcastServers(servers []roster.Server) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.broadcast(proto.Update{Servers: servers}, activeOnly)
}

// encode encodes an update. An error is a programming error, since updates hold plain
// values.
func (h *Hub) encode(m proto.Update) links.Encoded[proto.Update] {
	e, err := links.Encode(m)
	if err != nil && h.Log != nil {
		h.Log.WithError(err).Error("updateNotEncoded")
	}
	return e
}

// PublishEjections publishes ejected backend servers.
func (h *Hub) PublishEjections(ejections []load.Ejection) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.broadcast(proto.Update{Ejections: ejections}, activeOnly)
}

// PublishColdGrants sends each subscriber its grants for cold backend servers. A
// subscriber that is not linked now does not get them later: by then their ends would be
// wrong.
func (h *Hub) PublishColdGrants(grants []cold.Grant) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for s := range h.subscribers {
		own := slices.DeleteFunc(slices.Clone(grants), func(g cold.Grant) bool { return g.Instance != s.process })
		if len(own) > 0 && !s.standby {
			s.conn.Send(proto.Update{ColdGrants: own})
		}
	}
}

// ActiveInstances returns the active subscribers that accept grants for cold backend
// servers.
func (h *Hub) ActiveInstances() []cold.Instance {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []cold.Instance
	for s := range h.subscribers {
		if !s.standby && s.process != 0 {
			out = append(out, cold.Instance{Process: s.process, Name: s.name, Zone: s.zone})
		}
	}
	return out
}

// SetReplicas sets the addresses of the control replicas and publishes them if they
// have changed.
func (h *Hub) SetReplicas(addresses []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	changed := !slices.Equal(addresses, h.replicas)
	h.replicas = addresses
	if changed {
		h.broadcast(proto.Update{Replicas: addresses}, everyone)
	}
}

// SetReplicaZones sets the availability zones of control replicas by address, and
// publishes them if they have changed.
func (h *Hub) SetReplicaZones(zones map[string]string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	changed := !maps.Equal(zones, h.zones)
	h.zones = maps.Clone(zones)
	if changed {
		h.broadcast(proto.Update{ReplicaZones: h.zones}, everyone)
	}
}

// SetContact sets whether the hub's data is up to date, that is, whether there is
// contact to a leader, and publishes this if it has changed. It reports whether it
// has changed.
func (h *Hub) SetContact(contact bool) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	changed := contact != h.contact
	h.contact = contact
	if changed {
		h.broadcast(proto.Update{Contact: &contact}, everyone)
	}
	return changed
}

// audience selects the subscribers that get an update.
type audience func(*subscriber) bool

func everyone(*subscriber) bool     { return true }
func activeOnly(s *subscriber) bool { return !s.standby }

// broadcast sends an update to an audience. h.mu must be held.
func (h *Hub) broadcast(m proto.Update, to audience) {
	if len(h.subscribers) == 0 {
		return
	}
	e := h.encode(m)
	for s := range h.subscribers {
		if to(s) {
			s.conn.SendEncoded(e)
		}
	}
}

// serve handles the link of one subscriber until it ends.
func (h *Hub) serve(c *conn) {
	first, ok := <-c.Messages()
	if !ok || first.Subscribe == nil {
		return
	}
	s := &subscriber{conn: c, address: first.Subscribe.Address, zone: first.Subscribe.Zone,
		name: first.Subscribe.Instance, process: first.Subscribe.Process}
	h.subscribe(s, *first.Subscribe)
	for m := range c.Messages() {
		if m.Subscribe != nil {
			h.subscribe(s, *m.Subscribe)
		}
		if len(m.Failures) > 0 && h.OnFailures != nil {
			h.OnFailures(m.Failures)
		}
	}
	h.unsubscribe(s)
	h.logSubscriber("instanceUnlinked", *first.Subscribe)
}

// encodedUpdate is an update as it is sent to subscribers that accept compression and to
// others. The zero value is outdated.
type encodedUpdate struct {
	compressed, plain links.Encoded[proto.Update]
	valid             bool
	// expires is when the update is outdated, or zero if only a change outdates it.
	expires time.Time
}

// warmingCacheTime is how long the encoded records are reused while a backend server is
// warming, whose remaining time is as of the encoding. Only a remaining time that is
// wrong by more than roster.RiseTolerance counts as a change at the receivers.
const warmingCacheTime = roster.RiseTolerance / 2

// encodeBoth encodes an update in both forms.
func (h *Hub) encodeBoth(m proto.Update) encodedUpdate {
	compressed, err := m.Compress()
	if err != nil && h.Log != nil {
		h.Log.WithError(err).Error("updateNotEncoded")
	}
	return encodedUpdate{compressed: h.encode(compressed), plain: h.encode(m), valid: true}
}

// sendTo sends the update to a subscriber.
func (e encodedUpdate) sendTo(s *subscriber) {
	if s.compression {
		s.conn.SendEncoded(e.compressed)
		return
	}
	s.conn.SendEncoded(e.plain)
}

// encodedServers returns all records. The encoding is reused until a record changes.
func (h *Hub) encodedServers() encodedUpdate {
	h.mu.Lock()
	complete, publishCount := h.completeServers, h.publishCount
	h.mu.Unlock()
	if complete.valid && (complete.expires.IsZero() || time.Now().Before(complete.expires)) {
		return complete
	}
	servers := h.AllServers()
	complete = h.encodeBoth(proto.Update{Servers: servers})
	if slices.ContainsFunc(servers, func(s roster.Server) bool { return s.Warming > 0 }) {
		complete.expires = time.Now().Add(warmingCacheTime)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.publishCount == publishCount {
		h.completeServers = complete
	}
	return complete
}

// encodedConfig returns the complete configuration. h.mu must be held.
func (h *Hub) encodedConfig() encodedUpdate {
	if !h.completeConfig.valid {
		delta := config.Diff(config.Configuration{}, h.config)
		h.completeConfig = h.encodeBoth(proto.Update{Config: &delta})
	}
	return h.completeConfig
}

func (h *Hub) logSubscriber(event string, request proto.Subscribe) {
	if h.Log == nil {
		return
	}
	h.Log.WithFields(logrus.Fields{"instance": request.Instance, "zone": request.Zone,
		"version": request.Version, "standby": request.Standby}).Info(event)
}

// subscribe adds a subscriber or changes its subscription, and brings an active one up
// to date.
func (h *Hub) subscribe(s *subscriber, request proto.Subscribe) {
	h.logSubscriber("instanceLinked", request)
	h.addSubscriber(s, request)
	// Records that are published from now on may arrive before these.
	switch {
	case request.Standby:
	case request.Digest != 0 && request.Digest == h.Digest():
		h.sendWarming(s)
	case h.Differing != nil && len(request.Digests) > 0:
		s.conn.Send(proto.Update{Servers: h.Differing(request.Digests)})
		h.sendWarming(s)
	default:
		h.encodedServers().sendTo(s)
	}
}

// sendWarming sends a subscriber the records of the backend servers that are warming, if
// a service has a limit for these. Digests don't cover that: a subscriber that changes
// its source may have missed that one is warming again.
func (h *Hub) sendWarming(s *subscriber) {
	h.mu.Lock()
	limited := len(h.config.Cold) > 0
	h.mu.Unlock()
	if !limited || h.Warming == nil {
		return
	}
	if warming := h.Warming(); len(warming) > 0 {
		s.conn.Send(proto.Update{Servers: warming})
	}
}

// addSubscriber adds a subscriber and sends it the complete current configuration if
// it has another version.
func (h *Hub) addSubscriber(s *subscriber, request proto.Subscribe) {
	h.mu.Lock()
	defer h.mu.Unlock()
	s.standby, s.compression = request.Standby, request.Compression
	contact, evacuations := h.contact, h.evacuations
	h.expireEnded()
	for _, e := range h.ended { // so that the subscriber sees the end
		s.conn.Send(proto.Update{Evacuations: &e.set})
	}
	// The evacuations precede the configuration, so that a new instance places no flow
	// without them.
	s.conn.Send(proto.Update{Replicas: h.replicas, ReplicaZones: h.zones, Contact: &contact, Version: h.config.Version,
		Evacuations: &evacuations})
	if !s.standby && h.config.Version > 0 {
		s.sent = h.config
		if request.Version != h.config.Version {
			h.encodedConfig().sendTo(s)
		}
	}
	if h.subscribers == nil {
		h.subscribers = map[*subscriber]bool{}
	}
	h.subscribers[s] = true
	h.assignPeers()
}

func (h *Hub) unsubscribe(s *subscriber) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.subscribers, s)
	for other := range h.subscribers {
		other.peers = slices.DeleteFunc(other.peers, func(a string) bool { return a == s.address })
	}
	h.assignPeers()
}

// assignPeers assigns peers to the subscribers that have too few. Peers in other
// availability zones come first, because a partition that affects a subscriber may
// affect its whole zone. h.mu must be held.
func (h *Hub) assignPeers() {
	for s := range h.subscribers {
		if len(s.peers) >= peersPerSubscriber {
			continue
		}
		before := len(s.peers)
		for _, other := range h.peerCandidates(s) {
			if len(s.peers) < peersPerSubscriber {
				s.peers = append(s.peers, other.address)
			}
		}
		if len(s.peers) > before {
			s.conn.Send(proto.Update{Peers: slices.Clone(s.peers)})
		}
	}
}

// peerCandidates returns the subscribers that may become peers of s in random order,
// those in other availability zones first.
func (h *Hub) peerCandidates(s *subscriber) []*subscriber {
	var sameZone, otherZones []*subscriber
	for other := range h.subscribers {
		excluded := other.address == "" || other.address == s.address || slices.Contains(s.peers, other.address)
		switch {
		case excluded:
		case other.zone == s.zone:
			sameZone = append(sameZone, other)
		default:
			otherZones = append(otherZones, other)
		}
	}
	shuffle(sameZone)
	shuffle(otherZones)
	return append(otherZones, sameZone...)
}

func shuffle(s []*subscriber) {
	rand.Shuffle(len(s), func(i, j int) { s[i], s[j] = s[j], s[i] })
}
