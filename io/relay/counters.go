package relay

import (
	"sync/atomic"

	"boragepost/core/flow"
	"boragepost/io/links"
)

// counters count what became of packets.
type counters struct {
	forwarded, opened         atomic.Int64
	malformed                 atomic.Int64
	receiveErrors, sendErrors atomic.Int64
	dropped, resets           reasons
	meter                     links.Meter
}

// reasons counts by reason. It is guarded by the relay's lock.
type reasons map[flow.Reason]int64

func (c *counters) drop(reason flow.Reason) {
	if c.dropped == nil {
		c.dropped = reasons{}
	}
	c.dropped[reason]++
}

func (c *counters) reset(reason flow.Reason) {
	if c.resets == nil {
		c.resets = reasons{}
	}
	c.resets[reason]++
}
