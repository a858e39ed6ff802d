package model

import (
	"fmt"
	"time"
	"unicode/utf8"
)

// Command is one entry of the replicated log. Exactly one of its pointer
// fields is set.
type Command struct {
	// RequestID makes the command idempotent: a second command with the same
	// identifier returns the first result. It may be empty.
	RequestID string `cbor:"1,keyasint,omitempty"`
	Actor     string `cbor:"2,keyasint,omitempty"`
	// Time is the proposer's Unix time in milliseconds.
	Time int64 `cbor:"3,keyasint"`

	PutService    *PutService    `cbor:"10,keyasint,omitempty"`
	DeleteService *DeleteService `cbor:"11,keyasint,omitempty"`
	Announce      *Announce      `cbor:"12,keyasint,omitempty"`
	Drain         *Drain         `cbor:"13,keyasint,omitempty"`
	RemoveServers *RemoveServers `cbor:"14,keyasint,omitempty"`
	Join          *Join          `cbor:"15,keyasint,omitempty"`
	Leave         *Leave         `cbor:"16,keyasint,omitempty"`
	Advance       *Advance       `cbor:"17,keyasint,omitempty"`
	Evacuate      *Evacuate      `cbor:"18,keyasint,omitempty"`
}

// PutService creates or replaces a service.
type PutService struct {
	Service Service `cbor:"1,keyasint"`
	// ExpectedVersion is the resource version that the service must still have;
	// 0 means that it must not exist yet. It is ignored when Force is set.
	ExpectedVersion uint64 `cbor:"2,keyasint"`
	Force           bool   `cbor:"3,keyasint,omitempty"`
}

// DeleteService removes a service.
type DeleteService struct {
	Name            string `cbor:"1,keyasint"`
	ExpectedVersion uint64 `cbor:"2,keyasint"`
	Force           bool   `cbor:"3,keyasint,omitempty"`
}

// Announce adds a backend server, or replaces an older incarnation of it.
type Announce struct {
	Server BackendServer `cbor:"1,keyasint"`
}

// Drain moves a backend server to the Draining phase: its buckets get other owners,
// and it is removed after the service's drain timeout.
type Drain struct {
	Service string `cbor:"1,keyasint"`
	Name    string `cbor:"2,keyasint"`
}

// RemoveServers removes backend servers whose lease or drain has ended.
type RemoveServers struct {
	IDs    []ServerID `cbor:"1,keyasint"`
	Reason string     `cbor:"2,keyasint"`
}

// Join adds an entry instance.
type Join struct {
	Instance Instance `cbor:"1,keyasint"`
}

// Leave removes an entry instance.
type Leave struct {
	ID          InstanceID `cbor:"1,keyasint"`
	Incarnation uint64     `cbor:"2,keyasint"`
	Reason      string     `cbor:"3,keyasint"`
}

// Stage is a step of a bucket move that all entry instances must complete
// before the next one begins.
type Stage uint8

// The stages to which Advance can move buckets.
const (
	StageMigrating Stage = iota
	StageFinalizing
	StageStable
)

// Advance moves every bucket that entered its current stage at or before
// Through to the given stage.
type Advance struct {
	Service string `cbor:"1,keyasint"`
	Stage   Stage  `cbor:"2,keyasint"`
	Through uint64 `cbor:"3,keyasint"`
}

// Evacuate evacuates an availability zone, or ends its evacuation. Evacuating an
// evacuated zone changes nothing.
type Evacuate struct {
	Zone string `cbor:"1,keyasint"`
	End  bool   `cbor:"2,keyasint,omitempty"`
	// ExpectedVersion is the resource version that the evacuation must still have; 0
	// means that the zone must not be evacuated. It is ignored when Force is set.
	ExpectedVersion uint64 `cbor:"3,keyasint,omitempty"`
	Force           bool   `cbor:"4,keyasint,omitempty"`
}

// Result is the outcome of an applied command.
type Result struct {
	Index      uint64        `cbor:"1,keyasint"`
	Generation uint64        `cbor:"2,keyasint,omitempty"`
	ServerID   ServerID      `cbor:"3,keyasint,omitempty"`
	Failure    *CommandError `cbor:"4,keyasint,omitempty"`
	// Replayed is set when the result is that of an earlier command with the same
	// RequestID.
	Replayed bool `cbor:"5,keyasint,omitempty"`
}

// Reason classifies a rejected command.
type Reason string

// The reasons for which a command is rejected.
const (
	ReasonConflict Reason = "conflict"
	ReasonNotFound Reason = "notFound"
	ReasonInvalid  Reason = "invalid"
)

// CommandError is the reason why a command was rejected. A rejected command has no
// effect on services, backend servers and tables.
type CommandError struct {
	Reason  Reason `json:"reason" cbor:"1,keyasint"`
	Message string `json:"message" cbor:"2,keyasint"`
	// Expected and Current are the resource versions of a command that failed its
	// version check; for other commands both are 0.
	Expected uint64 `json:"expected,omitempty" cbor:"3,keyasint,omitempty"`
	Current  uint64 `json:"current,omitempty" cbor:"4,keyasint,omitempty"`
}

var _ error = (*CommandError)(nil)

// Error implements error.
func (c *CommandError) Error() string {
	if c.Expected == c.Current {
		return fmt.Sprintf("%s: %s", c.Reason, c.Message)
	}
	return fmt.Sprintf("%s: %s: expected resource version %d, current is %d",
		c.Reason, c.Message, c.Expected, c.Current)
}

// Audit is one record of the audit trail.
type Audit struct {
	Index     uint64 `json:"resourceVersion" cbor:"1,keyasint"`
	Time      int64  `json:"timeUnixMs" cbor:"2,keyasint"`
	Actor     string `json:"actor" cbor:"3,keyasint"`
	Action    string `json:"action" cbor:"4,keyasint"`
	Object    string `json:"object" cbor:"5,keyasint"`
	From      uint64 `json:"fromGeneration" cbor:"6,keyasint"`
	To        uint64 `json:"toGeneration" cbor:"7,keyasint"`
	Outcome   string `json:"outcome" cbor:"8,keyasint"`
	RequestID string `json:"requestId,omitempty" cbor:"9,keyasint,omitempty"`
}

// Validate returns an error for each invalid field of s, in a fixed order.
func (s Service) Validate() []FieldError {
	var errs []FieldError
	add := func(path, text string) { errs = append(errs, FieldError{Path: path, Text: text}) }
	if s.Name == "" {
		add("name", "must not be empty")
	}
	if len(s.Name) > maxNameBytes {
		add("name", fmt.Sprintf("must have at most %d bytes", maxNameBytes))
	}
	if !s.Address.IsValid() || s.Address.Port() == 0 {
		add("address", "must be an IP address and port, such as 192.0.2.1:443")
	}
	if d := time.Duration(s.IdleTimeout); d < minIdleTimeout || d > maxIdleTimeout {
		add("idleTimeout", fmt.Sprintf("must be between %v and %v", minIdleTimeout, maxIdleTimeout))
	}
	if d := time.Duration(s.DrainTimeout); d < 0 || d > maxDrainTimeout {
		add("drainTimeout", fmt.Sprintf("must be between 0s and %v", maxDrainTimeout))
	}
	return errs
}

// ValidateZone returns an error for each fault of an availability zone's name.
func ValidateZone(zone string) []FieldError {
	var errs []FieldError
	if zone == "" {
		errs = append(errs, FieldError{Path: "zone", Text: "must not be empty"})
	}
	if len(zone) > maxNameBytes {
		errs = append(errs, FieldError{Path: "zone", Text: fmt.Sprintf("must have at most %d bytes", maxNameBytes)})
	}
	if !utf8.ValidString(zone) {
		// CBOR text and metric labels cannot hold other strings.
		errs = append(errs, FieldError{Path: "zone", Text: "must be UTF-8"})
	}
	return errs
}

const (
	maxNameBytes    = 253
	minIdleTimeout  = time.Second
	maxIdleTimeout  = 24 * time.Hour
	maxDrainTimeout = 7 * 24 * time.Hour
)

// FieldError describes an invalid field of an object.
type FieldError struct {
	Path string `json:"field"`
	Text string `json:"message"`
}

var _ error = FieldError{}

// Error implements error.
func (e FieldError) Error() string { return e.Path + ": " + e.Text }
