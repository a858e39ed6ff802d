package store

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"github.com/fxamacker/cbor/v2"

	"boragepost/core/roster"
)

// openDepartures opens the journal of departures, creating it if needed.
func (s *Store) openDepartures() error {
	f, err := os.OpenFile(filepath.Join(s.dir, departuresName), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return fmt.Errorf("open departures: %w", err)
	}
	s.departures = f
	return nil
}

// SaveDepartures appends records of backend servers that leave or are gone to the
// journal and syncs it. It may be called from the goroutine of SaveCheckpoint. After an
// error the call may be repeated.
func (s *Store) SaveDepartures(servers []roster.Server) error {
	data, err := encodeRecord(servers)
	if err != nil {
		return err
	}
	if err := s.beforeWrite(); err != nil {
		return fmt.Errorf("append to departures: %w", err)
	}
	if _, err := s.departures.Write(data); err != nil {
		return fmt.Errorf("append to departures: %w", err)
	}
	if err := s.departures.Sync(); err != nil {
		return fmt.Errorf("sync departures: %w", err)
	}
	return nil
}

// ClearDepartures empties the journal. It is called when a checkpoint that holds all
// its records has been saved. Records that come back after a loss of power do no harm,
// since merging them again changes nothing.
func (s *Store) ClearDepartures() error {
	if err := s.beforeWrite(); err != nil {
		return fmt.Errorf("clear departures: %w", err)
	}
	if err := s.departures.Truncate(0); err != nil {
		return fmt.Errorf("clear departures: %w", err)
	}
	return nil
}

// Departures returns the records in the journal and the number of bytes that belong to
// no valid record. A failed or torn write may leave such bytes anywhere, also before
// synced records, so they are skipped.
func (s *Store) Departures() (servers []roster.Server, skipped int, err error) {
	data, err := os.ReadFile(filepath.Join(s.dir, departuresName))
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, 0, fmt.Errorf("read departures: %w", err)
	}
	for len(data) > 0 {
		payload, size := decodeRecord(data)
		if size == 0 {
			data, skipped = data[1:], skipped+1
			continue
		}
		var batch []roster.Server
		if err := cbor.Unmarshal(payload, &batch); err != nil {
			return nil, 0, fmt.Errorf("decode departures: %w", err)
		}
		servers = append(servers, batch...)
		data = data[size:]
	}
	return servers, skipped, nil
}
