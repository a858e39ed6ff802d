package entry

import (
	"context"
	"errors"
	"time"

	"boragepost/core/claim"
	"boragepost/core/shard"
)

// errClaimTimeout says that the replicas of a claim did not answer in time.
var errClaimTimeout = errors.New("the claim's replicas did not answer in time")

const (
	claimInterval = 100 * time.Millisecond
	// claimRetention is how long a finished claim is remembered.
	claimRetention = 10 * time.Minute
)

// claimCall is a claim that waits for its answer.
type claimCall struct {
	key   claim.Key
	ask   claim.Record
	asked int64
	got   chan claim.Record
}

// claim asks the replicas of a key and waits for their answer.
func (e *Entry) claim(ctx context.Context, key claim.Key, ask claim.Record) (claim.Record, error) {
	call := &claimCall{key: key, ask: ask, got: make(chan claim.Record, 1)}
	var id uint64
	e.post(func() {
		e.nextID++
		id = e.nextID
		e.claiming[id] = call
		call.asked = e.now()
		e.sendClaims(e.claims.Request(id, key, ask))
	})
	defer e.post(func() { delete(e.claiming, id) })
	select {
	case r := <-call.got:
		return r, nil
	case <-ctx.Done():
		return claim.Record{}, errClaimTimeout
	case <-e.ctx.Done():
		return claim.Record{}, errClaimTimeout
	}
}

func (e *Entry) onClaimAnswer(a shard.Response[claim.Record]) {
	call := e.claiming[a.ID]
	if call == nil || a.Status != shard.OK {
		return // asked again at a later tick
	}
	delete(e.claiming, a.ID)
	call.got <- a.Value
}

func (e *Entry) retryClaims(now int64) {
	for id, call := range e.claiming {
		if now-call.asked < int64(claimInterval) {
			continue
		}
		call.asked = now
		e.sendClaims(e.claims.Request(id, call.key, call.ask))
	}
}

// askClaimsAgain sends all open claims to the primaries of a new membership.
func (e *Entry) askClaimsAgain() {
	for id, call := range e.claiming {
		call.asked = e.now()
		e.sendClaims(e.claims.Request(id, call.key, call.ask))
	}
}

func (e *Entry) expireClaims() {
	oldest := time.Now().Add(-claimRetention).Unix()
	e.claims.Delete(func(_ claim.Key, r claim.Record) bool { return r.Time < oldest })
}
