// Package timer provides waits that end with a context, and a clock that includes the
// time for which the machine was suspended.
//
//	timer.Sleep(ctx, time.Second)
//	err := timer.PollUntil(ctx, "the leader", func() bool { return hasLeader() })
//	elapsed := timer.SinceBoot() - before
package timer

import (
	"context"
	"fmt"
	"time"

	"golang.org/x/sys/unix"
)

const pollInterval = 50 * time.Millisecond

// Sleep waits for d, or until ctx ends.
func Sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// PollUntil polls ok until it returns true. If ctx ends first, it returns an error that
// contains what.
func PollUntil(ctx context.Context, what string, ok func() bool) error {
	for !ok() {
		if ctx.Err() != nil {
			return fmt.Errorf("wait for %s: %w", what, ctx.Err())
		}
		Sleep(ctx, pollInterval)
	}
	return nil
}

// SinceBoot returns the time since the machine was started. Unlike the monotonic
// clock it includes the time for which the machine was suspended, so that a lease
// measured with it cannot outlast its grant.
func SinceBoot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Every kernel that Go supports has this clock.
		panic(fmt.Sprintf("read boot clock: %v", err))
	}
	return time.Duration(ts.Nano())
}
