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
	probeInterval = 2 * time.Second
	probeTimeout  = time.Second
	probesAtOnce  = 16
	maxHealthBody = 4 << 10 // bytes
)

// identity is what a backend server's health endpoint says about itself.
type identity struct {
	Service     string `json:"service"`
	Name        string `json:"name"`
	Incarnation uint64 `json:"incarnation"`
}

// prober asks backend servers who they are while the instance has no lease. An
// address may have passed to another service in the meantime; packets go only to
// backend servers that have proved their identity lately.
type prober struct {
	client   http.Client
	running  bool
	started  int64
	verified map[model.ServerID]int64
}

// probeWithoutLease starts a round of probes when one is due.
func (e *Entry) probeWithoutLease(now int64) {
	p := &e.prober
	if e.balancer.HasLease(now) || p.running || p.started != 0 && now-p.started < int64(probeInterval) {
		return
	}
	p.running, p.started = true, now
	servers := e.state.Servers()
	go func() {
		good := e.probe(servers)
		e.post(func() { e.probed(now, good) })
	}()
}

// probed takes the outcome of a round that began at a time.
func (e *Entry) probed(began int64, good []model.ServerID) {
	p := &e.prober
	p.running = false
	next := make(map[model.ServerID]int64, len(good))
	for id, at := range p.verified {
		next[id] = at
	}
	for _, id := range good {
		next[id] = began
	}
	p.verified = next
	e.balancer.SetVerified(next)
}

// probe returns those backend servers that are who they are expected to be.
func (e *Entry) probe(servers []model.BackendServer) []model.ServerID {
	ctx, cancel := context.WithTimeout(e.ctx, probeInterval)
	defer cancel()
	var mu sync.Mutex
	var wg sync.WaitGroup
	var good []model.ServerID
	slots := make(chan struct{}, probesAtOnce)
	for _, b := range servers {
		slots <- struct{}{}
		wg.Add(1)
		go func() {
			defer wg.Done()
			defer func() { <-slots }()
			if e.prober.isItself(ctx, b) {
				mu.Lock()
				defer mu.Unlock()
				good = append(good, b.ID)
			}
		}()
	}
	wg.Wait()
	return good
}

func (p *prober) isItself(ctx context.Context, b model.BackendServer) bool {
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
	if json.NewDecoder(io.LimitReader(resp.Body, maxHealthBody)).Decode(&got) != nil {
		return false
	}
	return got == identity{Service: b.Service, Name: b.Name, Incarnation: b.Incarnation}
}
