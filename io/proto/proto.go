// Package proto defines the messages between the processes of a deployment, which are
// sent as CBOR over WebSocket (package links).
//
// An entry instance opens one link to a control replica (ToControl, ToEntry).
// Control replicas link to each other (ToReplica), and entry instances to each
// other (ToPeer). Exactly one field of a message is set.
//
// Networks that carry a flow cookie have messages of their own: between control
// replicas (ToPlane), and between an entry instance and a control replica or another
// entry instance (ToFeed, Update). An Update may set several fields.
package proto

import (
	"boragepost/core/agent"
	"boragepost/core/claim"
	"boragepost/core/leader"
	"boragepost/core/model"
	"boragepost/core/quorum"
	"boragepost/core/shard"
)

// Paths of the link endpoints.
const (
	EntryPath   = "/links/entry"
	ReplicaPath = "/links/replica"
	PeerPath    = "/links/peer"
)

// ToControl is a message from an entry instance to a control replica.
type ToControl struct {
	Hello     *Hello           `cbor:"1,keyasint,omitempty"`
	Heartbeat *Heartbeat       `cbor:"2,keyasint,omitempty"`
	Announce  *Announce        `cbor:"3,keyasint,omitempty"`
	Renew     []model.ServerID `cbor:"4,keyasint,omitempty"`
}

// Hello is the first message on a link. The control replica sends the commands after
// the index Applied.
type Hello struct {
	Instance model.InstanceID `cbor:"1,keyasint"`
	Applied  uint64           `cbor:"2,keyasint"`
}

// Heartbeat requests a lease for an entry instance. The grant has the same Seq.
type Heartbeat struct {
	Seq       uint64           `cbor:"1,keyasint"`
	Heartbeat leader.Heartbeat `cbor:"2,keyasint"`
}

// Announce forwards a backend server's announcement. The response has the same ID.
type Announce struct {
	ID     uint64              `cbor:"1,keyasint"`
	Server model.BackendServer `cbor:"2,keyasint"`
}

// ToEntry is a message from a control replica to an entry instance.
type ToEntry struct {
	// Snapshot is a routing snapshot (state.RestoreRoutingSnapshot).
	Snapshot  []byte     `cbor:"1,keyasint,omitempty"`
	Commands  []Applied  `cbor:"2,keyasint,omitempty"`
	Grant     *Grant     `cbor:"3,keyasint,omitempty"`
	Announced *Announced `cbor:"4,keyasint,omitempty"`
}

// Applied is a committed command with its log index.
type Applied struct {
	Index   uint64        `cbor:"1,keyasint"`
	Command model.Command `cbor:"2,keyasint"`
}

// Grant answers a heartbeat.
type Grant struct {
	Seq uint64 `cbor:"1,keyasint"`
	// Commit is the leader's commit index. The lease holds only for an
	// instance that has applied it.
	Commit uint64 `cbor:"2,keyasint"`
	// LeaseMs is the duration of the lease in milliseconds, counted from the sending
	// of the heartbeat; 0 refuses the lease.
	LeaseMs int64 `cbor:"3,keyasint"`
}

// Announced answers an Announce.
type Announced struct {
	ID     uint64       `cbor:"1,keyasint"`
	Result model.Result `cbor:"2,keyasint"`
	Error  string       `cbor:"3,keyasint,omitempty"`
}

// ToReplica is a message between control replicas.
type ToReplica struct {
	Quorum  *quorum.Message `cbor:"1,keyasint,omitempty"`
	Forward *Forward        `cbor:"2,keyasint,omitempty"`
	Reply   *Reply          `cbor:"3,keyasint,omitempty"`
}

// Forward carries a request to the leader.
type Forward struct {
	ID        uint64            `cbor:"1,keyasint"`
	From      string            `cbor:"2,keyasint"`
	Command   *model.Command    `cbor:"3,keyasint,omitempty"`
	Heartbeat *leader.Heartbeat `cbor:"4,keyasint,omitempty"`
	Renew     []model.ServerID  `cbor:"5,keyasint,omitempty"`
	Status    bool              `cbor:"6,keyasint,omitempty"`
}

// Reply answers a Forward.
type Reply struct {
	ID     uint64        `cbor:"1,keyasint"`
	Result *model.Result `cbor:"2,keyasint,omitempty"`
	Grant  *Grant        `cbor:"3,keyasint,omitempty"`
	Status *Status       `cbor:"4,keyasint,omitempty"`
	Error  string        `cbor:"5,keyasint,omitempty"`
}

// Status is the state of the deployment as seen by the leader.
type Status struct {
	Leader string                       `json:"leader" cbor:"1,keyasint"`
	Term   uint64                       `json:"term" cbor:"2,keyasint"`
	Commit uint64                       `json:"resourceVersion" cbor:"3,keyasint"`
	Zones  map[string]leader.ZoneStatus `json:"zones" cbor:"4,keyasint"`
}

// ToPeer is a message between entry instances.
type ToPeer struct {
	From  model.InstanceID                        `cbor:"1,keyasint"`
	Agent *agent.Message                          `cbor:"2,keyasint,omitempty"`
	Claim *shard.Message[claim.Key, claim.Record] `cbor:"3,keyasint,omitempty"`
}
