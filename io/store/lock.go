package store

import (
	"fmt"
	"os"
	"syscall"
)

// lockDirectory acquires the lock that keeps two processes from using one data directory.
// The lock is released when the file is closed or the process ends.
func lockDirectory(path string) (*os.File, error) {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		f.Close()
		return nil, fmt.Errorf("another process uses the directory: %w", err)
	}
	return f, nil
}
