package state

import "boragepost/core/model"

// maxResults bounds the stored results of idempotent commands.
const maxResults = 1 << 15

// resultCache stores the results of the latest commands by request identifier,
// so that a repeated command returns its first result. The field order lists the
// identifiers, oldest first.
type resultCache struct {
	byID  map[string]model.Result
	order []string
}

func newResultCache() resultCache { return resultCache{byID: map[string]model.Result{}} }

func (c *resultCache) find(id string) (model.Result, bool) {
	if id == "" {
		return model.Result{}, false
	}
	result, ok := c.byID[id]
	return result, ok
}

func (c *resultCache) add(id string, result model.Result) {
	if id == "" {
		return
	}
	c.byID[id] = result
	c.order = append(c.order, id)
	if len(c.order) <= maxResults {
		return
	}
	for _, old := range c.order[:maxResults/2] {
		delete(c.byID, old)
	}
	c.order = append([]string(nil), c.order[maxResults/2:]...)
}
