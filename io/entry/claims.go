package entry

import (
	"context"
	"errors"
	"time"

	"boragepost/core/claim"
	"boragepost/core/shard"
)

// errClaimTimeout is returned if the replicas of a claim do not respond in time.
var errClaimTimeout = errors.New("the claim's replicas did not answer in time")

const (
	claimRetryInterval = 100 * time.Millisecond
	// claimRetention is how long a claim is kept, from when it was made.
	claimRetention = 10 * time.Minute
)

// pendingClaim is a claim request that has not been answered yet.
type pendingClaim struct {
	key      claim.Key
	record   claim.Record
	sentAt   int64
	response chan claim.Record
}

// claim sends a claim request to the replicas of a key and waits for the
// response.
func (e *Entry) claim(ctx context.Context, key claim.Key, record claim.Record) (claim.Record, error) {
	call := &pendingClaim{key: key, record: record, response: make(chan claim.Record, 1)}
	var id uint64
	e.post(func() {
		e.lastRequestID++
		id = e.lastRequestID
		e.pendingClaims[id] = call
		call.sentAt = e.now()
		e.sendClaims(e.claims.Request(id, key, record))
	})
	defer e.post(func() { delete(e.pendingClaims, id) })
	select {
	case r := <-call.response:
		return r, nil
	case <-ctx.Done():
		return claim.Record{}, errClaimTimeout
	case <-e.ctx.Done():
		return claim.Record{}, errClaimTimeout
	}
}

func (e *Entry) handleClaimResponse(resp shard.Response[claim.Record]) {
	call := e.pendingClaims[resp.ID]
	if call == nil || resp.Status != shard.OK {
		return // retried on a later tick
	}
	delete(e.pendingClaims, resp.ID)
	call.response <- resp.Value
}

func (e *Entry) retryClaims(now int64) {
	for id, call := range e.pendingClaims {
		if now-call.sentAt < int64(claimRetryInterval) {
			continue
		}
		call.sentAt = now
		e.sendClaims(e.claims.Request(id, call.key, call.record))
	}
}

// resendClaims resends all pending claim requests to the primaries of a new
// membership.
func (e *Entry) resendClaims() {
	for id, call := range e.pendingClaims {
		call.sentAt = e.now()
		e.sendClaims(e.claims.Request(id, call.key, call.record))
	}
}

func (e *Entry) expireClaims() {
	oldest := time.Now().Add(-claimRetention).Unix()
	e.claims.Delete(func(_ claim.Key, r claim.Record) bool { return r.Time < oldest })
}
