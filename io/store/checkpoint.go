package store

import (
	"fmt"
	"time"

	"boragepost/core/config"
	"boragepost/core/roster"
)

// Checkpoint is soft state that shortens a restart. It may be outdated, so it proves
// nothing; in particular, linearizable reads must not be answered from it.
type Checkpoint struct {
	Servers []roster.Server `cbor:"1,keyasint,omitempty"`
	// Configuration was in force at some time before the checkpoint was saved.
	Configuration config.Configuration `cbor:"2,keyasint"`
	// Evacuations were in force at some time before the checkpoint was saved.
	Evacuations config.Evacuations `cbor:"3,keyasint,omitzero"`
	// SavedAt is when the checkpoint was made, on the boot clock. The remaining times
	// in Servers are as of then. It is 0 in checkpoints of earlier versions.
	SavedAt time.Duration `cbor:"4,keyasint,omitempty"`
}

// Age returns the time that has passed since the checkpoint was made, or less if the
// machine has been started again since. now is a reading of the boot clock.
func (c Checkpoint) Age(now time.Duration) time.Duration {
	if now < c.SavedAt {
		return now // the clock began anew
	}
	return now - c.SavedAt
}

// SaveCheckpoint writes and syncs a checkpoint. It may be called from the goroutine of
// SaveDepartures.
func (s *Store) SaveCheckpoint(c Checkpoint) error {
	data, err := encodeRecord(c)
	if err != nil {
		return err
	}
	if err := s.replaceFile(checkpointName, data); err != nil {
		return fmt.Errorf("write checkpoint: %w", err)
	}
	return nil
}

// Checkpoint returns the saved checkpoint, or an empty one if there is none.
func (s *Store) Checkpoint() (Checkpoint, error) {
	var c Checkpoint
	if _, err := s.readRecordFile(checkpointName, &c); err != nil {
		return Checkpoint{}, fmt.Errorf("read checkpoint: %w", err)
	}
	return c, nil
}
