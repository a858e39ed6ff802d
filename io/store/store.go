// Package store keeps a control replica's log and snapshot on disk.
//
// The data directory holds these files:
//
//   - identity names the replica, if the set of voters is dynamic.
//   - checkpoint holds soft state that shortens a restart and may be outdated.
//   - departures is a journal of the backend servers that have left since the
//     checkpoint. A departure is synced before it is acknowledged.
//   - log is a sequence of records, each with a checksum of its header and one of its
//     contents. Each Save appends one record and syncs it before it returns.
//   - snapshot holds the latest snapshot, which replaces the log up to its index.
//
// Only the last record can be torn by a crash; Open drops it. An invalid record with a
// valid one after it means that synced data has changed on disk; Open then returns a
// *CorruptError.
//
// # Usage
//
//	s, saved, err := store.Open(dir)
//	err = s.Save(hard, entries)
//	err = s.SaveSnapshot(snapshot, hard, tail)
package store

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"os"
	"path/filepath"

	"github.com/fxamacker/cbor/v2"

	"boragepost/core/quorum"
)

const (
	logName        = "log"
	snapshotName   = "snapshot"
	lockName       = "lock"
	identityName   = "identity"
	checkpointName = "checkpoint"
	departuresName = "departures"

	headerBytes = 16 // magic, length, contents checksum, header checksum
	magic       = 0x62706c31
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// CorruptError reports that synced data has changed on disk.
type CorruptError struct {
	File   string
	Offset int64
}

var _ error = (*CorruptError)(nil)

// Error implements error.
func (e *CorruptError) Error() string {
	return fmt.Sprintf("%s: bad checksum at offset %d with valid records after it; "+
		"move the data directory away to let this replica recover from the others", e.File, e.Offset)
}

// record holds the contents of one log record.
type record struct {
	HardState *quorum.HardState `cbor:"1,keyasint,omitempty"`
	Entries   []quorum.Entry    `cbor:"2,keyasint,omitempty"`
}

// file is the part of *os.File that a Store uses. Tests replace it to inject write
// errors.
type file interface {
	io.Writer
	Sync() error
	Close() error
	Truncate(size int64) error
}

var _ file = (*os.File)(nil)

// Store is an open data directory. Its methods must be called from one goroutine, except
// that a second goroutine may save checkpoints and departures.
type Store struct {
	// BeforeWrite, if set, is called before each write, which fails with its error. It
	// must be set before the first write. Tests inject full disks with it.
	BeforeWrite func() error

	dir        string
	log        file
	departures file
	size       int64 // length of the valid part of the log
	lock       *os.File
	// dirty means that the log may have data after its valid part.
	dirty bool
	// snapshotIncomplete means that SaveSnapshot failed, so that the log's name in the
	// directory may refer to another file than log.
	snapshotIncomplete bool
	// syncDir syncs the directory's entries. Tests replace it.
	syncDir func(dir string) error
}

// Open opens a data directory, creating it if needed, and returns the state saved in it.
// It returns a *CorruptError for corrupt data, and another error when another process
// has the directory open.
func Open(dir string) (*Store, quorum.PersistentState, error) {
	var saved quorum.PersistentState
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, saved, fmt.Errorf("create data directory: %w", err)
	}
	lock, err := lockDirectory(filepath.Join(dir, lockName))
	if err != nil {
		return nil, saved, fmt.Errorf("lock data directory: %w", err)
	}
	s := &Store{dir: dir, lock: lock, syncDir: syncDirectory}
	if err := s.openDepartures(); err != nil {
		lock.Close()
		return nil, saved, err
	}
	if err := s.load(&saved); err != nil {
		s.departures.Close()
		lock.Close()
		return nil, quorum.PersistentState{}, err
	}
	return s, saved, nil
}

func (s *Store) load(saved *quorum.PersistentState) error {
	if _, err := s.readRecordFile(snapshotName, &saved.Snapshot); err != nil {
		return fmt.Errorf("read snapshot: %w", err)
	}
	path := filepath.Join(s.dir, logName)
	data, err := os.ReadFile(path)
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return fmt.Errorf("read log: %w", err)
	}
	validSize, err := scanRecords(path, data, func(payload []byte) error { return replay(payload, saved) })
	if err != nil {
		return fmt.Errorf("read log: %w", err)
	}
	saved.Entries = entriesAfter(saved.Entries, saved.Snapshot.Index)
	f, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return fmt.Errorf("open log: %w", err)
	}
	s.log, s.size = f, validSize
	if validSize < int64(len(data)) {
		if err := f.Truncate(validSize); err != nil {
			return fmt.Errorf("drop torn record: %w", err)
		}
	}
	return s.syncDir(s.dir)
}

// Close closes the data directory.
func (s *Store) Close() error {
	return errors.Join(s.log.Close(), s.departures.Close(), s.lock.Close())
}

// Save appends a hard state, if not nil, and entries to the log and syncs it. After an
// error nothing of the call takes effect, and it may be repeated.
func (s *Store) Save(hard *quorum.HardState, entries []quorum.Entry) error {
	if hard == nil && len(entries) == 0 {
		return nil
	}
	data, err := encodeRecord(record{HardState: hard, Entries: entries})
	if err != nil {
		return err
	}
	if s.snapshotIncomplete {
		return errSnapshotIncomplete
	}
	if err := s.beforeWrite(); err != nil {
		return err
	}
	if err := s.repair(); err != nil {
		return err
	}
	s.dirty = true
	if err := s.appendSynced(data); err != nil {
		return fmt.Errorf("append to log: %w", err)
	}
	s.dirty = false
	s.size += int64(len(data))
	return nil
}

var errSnapshotIncomplete = errors.New("the failed SaveSnapshot call must be repeated first")

func (s *Store) beforeWrite() error {
	if s.BeforeWrite == nil {
		return nil
	}
	return s.BeforeWrite()
}

func (s *Store) appendSynced(data []byte) error {
	if _, err := s.log.Write(data); err != nil {
		return err
	}
	return s.log.Sync()
}

// repair truncates the log to its valid part if a failed call may have left more.
func (s *Store) repair() error {
	if !s.dirty {
		return nil
	}
	if err := s.log.Truncate(s.size); err != nil {
		return fmt.Errorf("cut off torn record: %w", err)
	}
	s.dirty = false
	return nil
}

// SaveSnapshot writes and syncs a snapshot and starts a new log with the hard state and
// the entries after the snapshot. After an error the directory holds either the old log or
// the new one, both of which are valid; the call must be repeated before anything else
// is saved.
func (s *Store) SaveSnapshot(snap quorum.Snapshot, hard quorum.HardState, tail []quorum.Entry) error {
	data, err := encodeRecord(snap)
	if err != nil {
		return err
	}
	if err := s.replaceFile(snapshotName, data); err != nil {
		return fmt.Errorf("write snapshot: %w", err)
	}
	data, err = encodeRecord(record{HardState: &hard, Entries: entriesAfter(tail, snap.Index)})
	if err != nil {
		return err
	}
	s.snapshotIncomplete = true
	if err := s.replaceFile(logName, data); err != nil {
		return fmt.Errorf("start new log: %w", err)
	}
	f, err := os.OpenFile(filepath.Join(s.dir, logName), os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return fmt.Errorf("open new log: %w", err)
	}
	s.log.Close()
	s.log, s.size = f, int64(len(data))
	s.dirty, s.snapshotIncomplete = false, false
	return nil
}

// replaceFile atomically replaces a file by one with the given contents, and syncs it.
func (s *Store) replaceFile(name string, data []byte) error {
	if err := s.beforeWrite(); err != nil {
		return fmt.Errorf("write temporary file: %w", err)
	}
	path := filepath.Join(s.dir, name)
	tmp, err := os.OpenFile(path+".tmp", os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("create temporary file: %w", err)
	}
	_, err = tmp.Write(data)
	if err == nil {
		err = tmp.Sync()
	}
	if closeErr := tmp.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return fmt.Errorf("write temporary file: %w", err)
	}
	if err := os.Rename(path+".tmp", path); err != nil {
		return fmt.Errorf("replace file: %w", err)
	}
	return s.syncDir(s.dir)
}

func syncDirectory(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return fmt.Errorf("open data directory: %w", err)
	}
	defer d.Close()
	if err := d.Sync(); err != nil {
		return fmt.Errorf("sync data directory: %w", err)
	}
	return nil
}

// readRecordFile reads a file that consists of one record. It reports false when the
// file does not exist.
func (s *Store) readRecordFile(name string, v any) (bool, error) {
	path := filepath.Join(s.dir, name)
	data, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	payload, size := decodeRecord(data)
	if size == 0 || size != len(data) {
		return false, &CorruptError{File: path}
	}
	return true, cbor.Unmarshal(payload, v)
}

// replay applies one log record to the state read so far.
func replay(payload []byte, saved *quorum.PersistentState) error {
	var r record
	if err := cbor.Unmarshal(payload, &r); err != nil {
		return fmt.Errorf("decode record: %w", err)
	}
	if r.HardState != nil {
		saved.HardState = *r.HardState
	}
	if len(r.Entries) > 0 {
		saved.Entries = append(entriesBefore(saved.Entries, r.Entries[0].Index), r.Entries...)
	}
	return nil
}

// entriesBefore returns the entries with a lower index than index.
func entriesBefore(entries []quorum.Entry, index uint64) []quorum.Entry {
	for len(entries) > 0 && entries[len(entries)-1].Index >= index {
		entries = entries[:len(entries)-1]
	}
	return entries
}

// entriesAfter returns the entries with a higher index than index.
func entriesAfter(entries []quorum.Entry, index uint64) []quorum.Entry {
	for len(entries) > 0 && entries[0].Index <= index {
		entries = entries[1:]
	}
	return entries
}

func encodeRecord(v any) ([]byte, error) {
	payload, err := cbor.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("encode record: %w", err)
	}
	data := make([]byte, headerBytes, headerBytes+len(payload))
	binary.BigEndian.PutUint32(data[0:], magic)
	binary.BigEndian.PutUint32(data[4:], uint32(len(payload)))
	binary.BigEndian.PutUint32(data[8:], crc32.Checksum(payload, castagnoli))
	binary.BigEndian.PutUint32(data[12:], crc32.Checksum(data[:12], castagnoli))
	return append(data, payload...), nil
}

// decodeRecord returns the contents and the encoded size of the record at the start of
// data, or a size of 0 when there is no valid record.
func decodeRecord(data []byte) (payload []byte, size int) {
	if len(data) < headerBytes || binary.BigEndian.Uint32(data) != magic {
		return nil, 0
	}
	if binary.BigEndian.Uint32(data[12:]) != crc32.Checksum(data[:12], castagnoli) {
		return nil, 0
	}
	length := int(binary.BigEndian.Uint32(data[4:]))
	if length > len(data)-headerBytes {
		return nil, 0
	}
	payload = data[headerBytes : headerBytes+length]
	if binary.BigEndian.Uint32(data[8:]) != crc32.Checksum(payload, castagnoli) {
		return nil, 0
	}
	return payload, headerBytes + length
}

// scanRecords calls f with the contents of each valid record and returns the length of
// the valid part of data. It returns a *CorruptError for an invalid record with a
// valid one after it.
func scanRecords(path string, data []byte, f func([]byte) error) (int64, error) {
	offset := 0
	for offset < len(data) {
		payload, size := decodeRecord(data[offset:])
		if size == 0 {
			if hasRecord(data[offset+1:]) {
				return 0, &CorruptError{File: path, Offset: int64(offset)}
			}
			break
		}
		if err := f(payload); err != nil {
			return 0, fmt.Errorf("record at offset %d: %w", offset, err)
		}
		offset += size
	}
	return int64(offset), nil
}

// hasRecord reports whether a valid record starts at any offset of data.
func hasRecord(data []byte) bool {
	for i := 0; i+headerBytes <= len(data); i++ {
		if _, size := decodeRecord(data[i:]); size > 0 {
			return true
		}
	}
	return false
}
