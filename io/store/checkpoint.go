package store

import (
	"fmt"

	"boragepost/core/config"
	"boragepost/core/roster"
)

// Checkpoint is soft state that shortens a restart. It may be outdated, and is
// never a proof of anything.
type Checkpoint struct {
	Servers []roster.Server `cbor:"1,keyasint,omitempty"`
	// Configuration was in force once.
	Configuration config.Configuration `cbor:"2,keyasint"`
}

// SaveCheckpoint makes a checkpoint durable. Unlike the other methods it may be
// called from a goroutine of its own.
func (s *Store) SaveCheckpoint(c Checkpoint) error {
	data, err := frame(c)
	if err != nil {
		return err
	}
	if err := s.replace(checkpointName, data); err != nil {
		return fmt.Errorf("write checkpoint: %w", err)
	}
	return nil
}

// Checkpoint returns the checkpoint that was stored last, or an empty one.
func (s *Store) Checkpoint() (Checkpoint, error) {
	var c Checkpoint
	if _, err := s.readFramed(checkpointName, &c); err != nil {
		return Checkpoint{}, fmt.Errorf("read checkpoint: %w", err)
	}
	return c, nil
}
