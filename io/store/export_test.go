package store

import "errors"

// ErrFault is the error of an injected disk fault.
var ErrFault = errors.New("injected disk fault")

// Faults holds, for each kind of disk call, how many of the next calls fail.
type Faults struct {
	// A torn write writes half of its data before it fails.
	TornWrites, Syncs, Truncates, DirectorySyncs int
}

// InjectFaults makes calls of a store's disk fail.
func (s *Store) InjectFaults(f *Faults) {
	s.log = &faultyFile{file: s.log, faults: f}
	s.departures = &faultyFile{file: s.departures, faults: f}
	realSyncDir := s.syncDir
	s.syncDir = func(dir string) error {
		if consume(&f.DirectorySyncs) {
			return ErrFault
		}
		return realSyncDir(dir)
	}
}

type faultyFile struct {
	file
	faults *Faults
}

func consume(count *int) bool {
	*count--
	return *count >= 0
}

func (f *faultyFile) Write(data []byte) (int, error) {
	if consume(&f.faults.TornWrites) {
		n, err := f.file.Write(data[:len(data)/2])
		return n, errors.Join(ErrFault, err)
	}
	return f.file.Write(data)
}

func (f *faultyFile) Sync() error {
	if consume(&f.faults.Syncs) {
		return ErrFault
	}
	return f.file.Sync()
}

func (f *faultyFile) Truncate(size int64) error {
	if consume(&f.faults.Truncates) {
		return ErrFault
	}
	return f.file.Truncate(size)
}
