package proto

import (
	"time"

	"boragepost/core/config"
	"boragepost/core/load"
	"boragepost/core/quorum"
	"boragepost/core/roster"
)

// Paths of the links of networks that carry a flow cookie.
const (
	PlanePath = "/links/plane" // between control replicas
	RelayPath = "/links/relay" // from entry instances to whoever feeds them
)

// LinkHeartbeat is the interval of heartbeats on these links. A silent
// connection is noticed within three of them, which leaves most of the shortest
// time in which a change must be in force, 3 s, for the next connection.
const LinkHeartbeat = 300 * time.Millisecond

// ToPlane is a message between control replicas.
type ToPlane struct {
	Quorum *quorum.Message `cbor:"1,keyasint,omitempty"`
	// Join is the identifier of a replica that wants to follow the log.
	Join string `cbor:"2,keyasint,omitempty"`
	// Roster brings records of backend servers, Confirmed answers it.
	Roster    *Roster    `cbor:"3,keyasint,omitempty"`
	RosterAck *RosterAck `cbor:"4,keyasint,omitempty"`
	// Liveness is sent at regular intervals.
	Liveness *Liveness `cbor:"5,keyasint,omitempty"`
	// Proposal asks the leader to put a configuration into the log.
	Proposal          *config.Configuration `cbor:"7,keyasint,omitempty"`
	ReadIndexRequest  *ReadIndexRequest     `cbor:"8,keyasint,omitempty"`
	ReadIndexResponse *ReadIndexResponse    `cbor:"9,keyasint,omitempty"`
	// Failures are failed requests that an entry instance has seen, for the leader.
	// Ejections are what it decided, for the entry instances of all replicas.
	Failures  []load.Failures `cbor:"10,keyasint,omitempty"`
	Ejections []load.Ejection `cbor:"11,keyasint,omitempty"`
}

// Roster is records of backend servers that changed. A receiver answers a Serial
// other than 0 with Confirmed once it has them.
type Roster struct {
	From    string          `cbor:"1,keyasint"`
	Serial  uint64          `cbor:"2,keyasint,omitempty"`
	Servers []roster.Server `cbor:"3,keyasint,omitempty"`
}

// Liveness is the backend servers that the sender has heard lately, and a digest of
// its roster. A receiver with another digest sends its own records.
type Liveness struct {
	From       string             `cbor:"1,keyasint"`
	Heartbeats []roster.Heartbeat `cbor:"2,keyasint,omitempty"`
	Digest     uint64             `cbor:"3,keyasint,omitempty"`
}

// RosterAck says that the records of a serial have been taken in.
type RosterAck struct {
	By     string `cbor:"1,keyasint"`
	Serial uint64 `cbor:"2,keyasint"`
}

// ReadIndexRequest asks the leader which index is the newest.
type ReadIndexRequest struct {
	From string `cbor:"1,keyasint"`
	ID   uint64 `cbor:"2,keyasint"`
}

// ReadIndexResponse answers a Read: no entry after Index was committed when it was asked.
type ReadIndexResponse struct {
	ID    uint64 `cbor:"1,keyasint"`
	Index uint64 `cbor:"2,keyasint"`
}

// ToFeed is a message of an entry instance to whoever feeds it.
type ToFeed struct {
	Subscribe *Subscribe `cbor:"1,keyasint,omitempty"`
	// Failures are failed requests that the instance has seen.
	Failures []load.Failures `cbor:"2,keyasint,omitempty"`
}

// Subscribe opens a link of an entry instance.
type Subscribe struct {
	Instance string `cbor:"1,keyasint"`
	Zone     string `cbor:"2,keyasint"`
	// Version is the configuration that the instance has; 0 for none.
	Version uint64 `cbor:"3,keyasint,omitempty"`
	// Address is where the instance feeds others.
	Address string `cbor:"4,keyasint,omitempty"`
	// Digest is of the backend servers that the instance knows; 0 for none.
	Digest uint64 `cbor:"5,keyasint,omitempty"`
}

// Update tells an entry instance what changed. The first ones on a link hold
// everything that the instance does not have.
type Update struct {
	Config  *config.Delta   `cbor:"1,keyasint,omitempty"`
	Servers []roster.Server `cbor:"2,keyasint,omitempty"`
	// Replicas are the addresses of the control replicas, if they changed.
	Replicas []string `cbor:"3,keyasint,omitempty"`
	// Contact says whether the sender is up to date, if that changed: a replica
	// hears the leader, an entry instance such a replica.
	Contact *bool `cbor:"4,keyasint,omitempty"`
	// Peers are the addresses of a few other entry instances, if they
	// changed.
	Peers []string `cbor:"5,keyasint,omitempty"`
	// Ejections are backend servers to avoid.
	Ejections []load.Ejection `cbor:"6,keyasint,omitempty"`
}
