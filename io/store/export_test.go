package store

import "errors"

// ErrFault is the error of a disk that fails on purpose.
var ErrFault = errors.New("the disk fails on purpose")

// Faults say which calls of a disk fail, each until its count is used up.
type Faults struct {
	// TornWrites write half of their data before they fail.
	TornWrites, Syncs, Truncates, Folders int
}

// Fail makes a store's disk fail.
func (s *Store) Fail(f *Faults) {
	s.log = &failing{file: s.log, faults: f}
	whole := s.syncDir
	s.syncDir = func(dir string) error {
		if use(&f.Folders) {
			return ErrFault
		}
		return whole(dir)
	}
}

type failing struct {
	file
	faults *Faults
}

func use(count *int) bool {
	*count--
	return *count >= 0
}

func (f *failing) Write(data []byte) (int, error) {
	if use(&f.faults.TornWrites) {
		n, err := f.file.Write(data[:len(data)/2])
		return n, errors.Join(ErrFault, err)
	}
	return f.file.Write(data)
}

func (f *failing) Sync() error {
	if use(&f.faults.Syncs) {
		return ErrFault
	}
	return f.file.Sync()
}

func (f *failing) Truncate(size int64) error {
	if use(&f.faults.Truncates) {
		return ErrFault
	}
	return f.file.Truncate(size)
}
