package entry

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"boragepost/core/model"
)

const (
	probeInterval       = 2 * time.Second
	probeTimeout        = time.Second
	maxConcurrentProbes = 16
	maxHealthBytes      = 4 << 10
)

// identity is the response of a backend server's health endpoint.
type identity struct {
	Service     string `json:"service"`
	Name        string `json:"name"`
	Incarnation uint64 `json:"incarnation"`
}

// prober verifies the identity of backend servers while the instance has no
// lease. An address may have been reassigned to another service in the
// meantime, so packets are forwarded only to backend servers that were verified
// recently.
type prober struct {
	client    http.Client
	running   bool
	startedAt int64                    // of the latest round
	verified  map[model.ServerID]int64 // start of the latest round that verified it
}

// probeWithoutLease starts a round of probes if the instance has no lease and a
// round is due.
func (e *Entry) probeWithoutLease(now int64) {
	p := &e.prober
	if e.balancer.HasLease(now) || p.running || p.startedAt != 0 && now-p.startedAt < int64(probeInterval) {
		return
	}
	p.running, p.startedAt = true, now
	servers := e.state.Servers()
	go func() {
		confirmed := e.probe(servers)
		e.post(func() { e.recordProbes(now, confirmed) })
	}()
}

// recordProbes records the result of a round of probes that started at startedAt.
func (e *Entry) recordProbes(startedAt int64, confirmed []model.ServerID) {
	p := &e.prober
	p.running = false
	updated := make(map[model.ServerID]int64, len(confirmed))
	for id, at := range p.verified {
		updated[id] = at
	}
	for _, id := range confirmed {
		updated[id] = startedAt
	}
	p.verified = updated
	e.balancer.SetVerified(updated)
}

// probe returns the backend servers that confirmed their expected identity.
func (e *Entry) probe(servers []model.BackendServer) []model.ServerID {
	ctx, cancel := context.WithTimeout(e.ctx, probeInterval)
	defer cancel()
	var mu sync.Mutex
	var wg sync.WaitGroup
	var confirmed []model.ServerID
	semaphore := make(chan struct{}, maxConcurrentProbes)
	for _, b := range servers {
		semaphore <- struct{}{}
		wg.Add(1)
		go func() {
			defer wg.Done()
			defer func() { <-semaphore }()
			if e.prober.verifyIdentity(ctx, b) {
				mu.Lock()
				defer mu.Unlock()
				confirmed = append(confirmed, b.ID)
			}
		}()
	}
	wg.Wait()
	return confirmed
}

func (p *prober) verifyIdentity(ctx context.Context, b model.BackendServer) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+b.HTTP.String()+"/health", nil)
	if err != nil {
		return false
	}
	resp, err := p.client.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	var got identity
	if json.NewDecoder(io.LimitReader(resp.Body, maxHealthBytes)).Decode(&got) != nil {
		return false
	}
	return got == identity{Service: b.Service, Name: b.Name, Incarnation: b.Incarnation}
}
