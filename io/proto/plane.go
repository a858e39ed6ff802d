package proto

import (
	"time"

	"boragepost/core/cold"
	"boragepost/core/config"
	"boragepost/core/load"
	"boragepost/core/quorum"
	"boragepost/core/roster"
)

// Paths of the link endpoints in networks that carry a flow cookie.
const (
	PlanePath = "/links/plane" // between control replicas
	RelayPath = "/links/relay" // from an entry instance to the source of its updates
)

// LinkHeartbeat is the interval of heartbeats on these links. A silent connection is
// detected within three intervals. That leaves most of the shortest time in which a
// change must be in force, 3 s, for the next connection.
const LinkHeartbeat = 300 * time.Millisecond

// ToPlane is a message between control replicas.
type ToPlane struct {
	Quorum *quorum.Message `cbor:"1,keyasint,omitempty"`
	// Join is the identifier of a replica that asks to become a learner.
	Join string `cbor:"2,keyasint,omitempty"`
	// Roster carries records of backend servers. RosterAck acknowledges it.
	Roster    *Roster    `cbor:"3,keyasint,omitempty"`
	RosterAck *RosterAck `cbor:"4,keyasint,omitempty"`
	// Liveness is sent periodically.
	Liveness *Liveness `cbor:"5,keyasint,omitempty"`
	// Proposal is a configuration for the leader to append to the log.
	Proposal          *config.Configuration `cbor:"7,keyasint,omitempty"`
	ReadIndexRequest  *ReadIndexRequest     `cbor:"8,keyasint,omitempty"`
	ReadIndexResponse *ReadIndexResponse    `cbor:"9,keyasint,omitempty"`
	// Failures are request failures that an entry instance has observed, for the
	// leader. Ejections are the leader's decisions, for the entry instances of all
	// replicas.
	Failures  []load.Failures `cbor:"10,keyasint,omitempty"`
	Ejections []load.Ejection `cbor:"11,keyasint,omitempty"`
	// RosterQuery asks for the records that the sender may lack.
	RosterQuery *RosterQuery `cbor:"12,keyasint,omitempty"`
	// Evacuation is an order for the leader to append to the log.
	Evacuation *config.EvacuationOrder `cbor:"13,keyasint,omitempty"`
	// ColdGrants are the leader's decisions on cold backend servers, for the entry
	// instances of all replicas.
	ColdGrants []cold.Grant `cbor:"14,keyasint,omitempty"`
}

// RosterQuery carries the digests of the buckets of the sender's roster. The receiver
// sends its records in the buckets that differ.
type RosterQuery struct {
	From    string   `cbor:"1,keyasint"`
	Digests []uint64 `cbor:"2,keyasint"`
}

// Roster carries changed records of backend servers. If Serial is not 0, the receiver
// sends a RosterAck once it has merged them and has the departures among them on disk.
type Roster struct {
	From    string          `cbor:"1,keyasint"`
	Serial  uint64          `cbor:"2,keyasint,omitempty"`
	Servers []roster.Server `cbor:"3,keyasint,omitempty"`
}

// Liveness carries the heartbeats that the sender has received from backend servers
// since its last Liveness, and the digest of its roster. A receiver whose digest
// differs sends a RosterQuery.
type Liveness struct {
	From       string             `cbor:"1,keyasint"`
	Heartbeats []roster.Heartbeat `cbor:"2,keyasint,omitempty"`
	Digest     uint64             `cbor:"3,keyasint,omitempty"`
	// Zone is the sender's availability zone.
	Zone string `cbor:"4,keyasint,omitempty"`
	// Instances are the active subscribers if cold backend servers have a limit, sent when
	// they have changed and now and then.
	Instances []cold.Instance `cbor:"15,keyasint,omitempty"`
}

// RosterAck acknowledges that the departures among the records with a serial are on disk.
type RosterAck struct {
	By     string `cbor:"1,keyasint"`
	Serial uint64 `cbor:"2,keyasint"`
}

// ReadIndexRequest asks the leader for the latest commit index.
type ReadIndexRequest struct {
	From string `cbor:"1,keyasint"`
	ID   uint64 `cbor:"2,keyasint"`
}

// ReadIndexResponse answers a ReadIndexRequest: no entry after Index was committed when
// the leader received the request.
type ReadIndexResponse struct {
	ID    uint64 `cbor:"1,keyasint"`
	Index uint64 `cbor:"2,keyasint"`
}

// ToFeed is a message from an entry instance to the source of its updates: a control
// replica or another entry instance.
type ToFeed struct {
	Subscribe *Subscribe `cbor:"1,keyasint,omitempty"`
	// Failures are request failures that the instance has observed.
	Failures []load.Failures `cbor:"2,keyasint,omitempty"`
}

// Subscribe is the first message of an entry instance on a link. It is sent again to
// change between the active source of updates and a standby.
type Subscribe struct {
	Instance string `cbor:"1,keyasint"`
	Zone     string `cbor:"2,keyasint"`
	// Version is the version of the instance's configuration; 0 for none.
	Version uint64 `cbor:"3,keyasint,omitempty"`
	// Address is where other entry instances can subscribe to this one.
	Address string `cbor:"4,keyasint,omitempty"`
	// Digest is the digest of the instance's backend servers; 0 for none.
	Digest uint64 `cbor:"5,keyasint,omitempty"`
	// Standby asks for no configurations, backend servers and ejections, but for the
	// version of the configuration and the evacuated zones.
	Standby bool `cbor:"6,keyasint,omitempty"`
	// Compression reports that the instance accepts compressed updates.
	Compression bool `cbor:"7,keyasint,omitempty"`
	// Digests are those of the buckets of the instance's roster, if it has records.
	Digests []uint64 `cbor:"8,keyasint,omitempty"`
	// Process identifies this start of the instance in grants for cold backend servers;
	// 0 asks for none.
	Process uint64 `cbor:"15,keyasint,omitempty"`
}

// Update carries changes to an entry instance. The first updates on a link bring the
// instance up to date.
type Update struct {
	Config  *config.Delta   `cbor:"1,keyasint,omitempty"`
	Servers []roster.Server `cbor:"2,keyasint,omitempty"`
	// Replicas are the addresses of the control replicas, if they have changed.
	Replicas []string `cbor:"3,keyasint,omitempty"`
	// Contact reports whether the sender is up to date, if that has changed: a replica
	// has contact to the leader, an entry instance to such a replica.
	Contact *bool `cbor:"4,keyasint,omitempty"`
	// Peers are the addresses of a few other entry instances, if they have changed.
	Peers []string `cbor:"5,keyasint,omitempty"`
	// Ejections are backend servers to avoid for some time.
	Ejections []load.Ejection `cbor:"6,keyasint,omitempty"`
	// ReplicaZones are the availability zones of control replicas by address, if they
	// have changed.
	ReplicaZones map[string]string `cbor:"7,keyasint,omitempty"`
	// Version is the version of the sender's configuration, for a standby link.
	Version uint64 `cbor:"8,keyasint,omitempty"`
	// Compressed is a deflated update, which replaces all other fields (Expand).
	Compressed []byte `cbor:"9,keyasint,omitempty"`
	// Evacuations is the complete set of evacuated zones. It is sent at each
	// subscription and, also to standbys, whenever its revision increases.
	Evacuations *config.Evacuations `cbor:"10,keyasint,omitempty"`
	// ColdGrants allow opening packets to cold backend servers. Each instance ignores
	// those for others. They are not sent again, nor passed on to other instances.
	ColdGrants []cold.Grant `cbor:"11,keyasint,omitempty"`
}
