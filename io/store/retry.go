package store

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"boragepost/io/timer"
)

// Retrier repeats writes that fail, such as those to a full disk. Its methods may be
// called from one goroutine, except Failing, which may be called from any.
type Retrier struct {
	// Log, which must be set, receives diskFailed when writes start to fail, and
	// diskRegained when they succeed again.
	Log *logrus.Entry
	// OnFailed, if set, is called when writes start to fail.
	OnFailed func()

	failing atomic.Bool
}

// retryInterval is the delay before a failed write is repeated.
const retryInterval = 200 * time.Millisecond

// Write calls write until it succeeds. It reports false if ctx ends before that.
func (r *Retrier) Write(ctx context.Context, write func() error) bool {
	for {
		err := write()
		if err == nil {
			if r.failing.CompareAndSwap(true, false) {
				r.Log.Info("diskRegained")
			}
			return true
		}
		if r.failing.CompareAndSwap(false, true) {
			r.Log.WithError(err).Error("diskFailed")
			if r.OnFailed != nil {
				r.OnFailed()
			}
		}
		timer.Sleep(ctx, retryInterval)
		if ctx.Err() != nil {
			return false
		}
	}
}

// Failing reports whether the latest write failed.
func (r *Retrier) Failing() bool { return r.failing.Load() }
