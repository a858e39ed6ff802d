package store

import "fmt"

// Identity names the replica that a data directory belongs to. It is saved once, before the
// replica sends its first vote or acknowledgement.
type Identity struct {
	ID string `cbor:"1,keyasint"`
	// InitialVoters is the initial set of voters if the replica is one of them, and
	// empty otherwise.
	InitialVoters []string `cbor:"2,keyasint,omitempty"`
}

// Identity returns the saved identity. It reports false when there is none.
func (s *Store) Identity() (Identity, bool, error) {
	var id Identity
	found, err := s.readRecordFile(identityName, &id)
	if err != nil {
		return Identity{}, false, fmt.Errorf("read identity: %w", err)
	}
	return id, found, nil
}

// SaveIdentity writes and syncs the identity.
func (s *Store) SaveIdentity(id Identity) error {
	data, err := encodeRecord(id)
	if err != nil {
		return err
	}
	if err := s.replaceFile(identityName, data); err != nil {
		return fmt.Errorf("write identity: %w", err)
	}
	return nil
}
