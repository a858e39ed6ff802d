package state

import "boragepost/core/model"

// maxRequests bounds the remembered results of idempotent commands.
const maxRequests = 1 << 15

// requestLog remembers the results of the latest commands by request
// identifier, oldest first in order.
type requestLog struct {
	byID  map[string]model.Result
	order []string
}

func newRequestLog() requestLog { return requestLog{byID: map[string]model.Result{}} }

func (r *requestLog) find(id string) (model.Result, bool) {
	if id == "" {
		return model.Result{}, false
	}
	result, ok := r.byID[id]
	return result, ok
}

func (r *requestLog) add(id string, result model.Result) {
	if id == "" {
		return
	}
	r.byID[id] = result
	r.order = append(r.order, id)
	if len(r.order) <= maxRequests {
		return
	}
	for _, old := range r.order[:maxRequests/2] {
		delete(r.byID, old)
	}
	r.order = append([]string(nil), r.order[maxRequests/2:]...)
}
