package store

import "fmt"

// Identity says which replica a data folder belongs to. It is written once, before
// the replica promises anything.
type Identity struct {
	ID string `cbor:"1,keyasint"`
	// InitialVoters are the first voters, if the replica is one of them.
	InitialVoters []string `cbor:"2,keyasint,omitempty"`
}

// Identity returns the stored identity, and false when there is none.
func (s *Store) Identity() (Identity, bool, error) {
	var id Identity
	found, err := s.readFramed(identityName, &id)
	if err != nil {
		return Identity{}, false, fmt.Errorf("read identity: %w", err)
	}
	return id, found, nil
}

// SaveIdentity makes the identity durable.
func (s *Store) SaveIdentity(id Identity) error {
	data, err := frame(id)
	if err != nil {
		return err
	}
	if err := s.replace(identityName, data); err != nil {
		return fmt.Errorf("write identity: %w", err)
	}
	return nil
}
