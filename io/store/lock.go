package store

import (
	"fmt"
	"os"
	"syscall"
)

// lockFolder acquires the lock that keeps two processes from using one data folder.
// The lock is released when the file is closed or the process ends.
func lockFolder(path string) (*os.File, error) {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		f.Close()
		return nil, fmt.Errorf("another process uses the folder: %w", err)
	}
	return f, nil
}
