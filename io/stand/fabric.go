package stand

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"boragepost/io/timer"
)

// FabricConfig configures a fabric and the faults that it injects.
type FabricConfig struct {
	Listen  netip.AddrPort `yaml:"listen"`
	Entries []EntryPoint   `yaml:"entries"`
	Seed    uint64         `yaml:"seed"`
	// Loss, Duplicate and Reorder are probabilities from 0 to 1.
	Loss      float64 `yaml:"loss"`
	Duplicate float64 `yaml:"duplicate"`
	Reorder   float64 `yaml:"reorder"`
	// Delay is the one-way delay of every packet.
	Delay time.Duration `yaml:"delay"`
}

// EntryPoint holds the addresses of an entry instance that the fabric uses.
type EntryPoint struct {
	Packets netip.AddrPort `yaml:"packets"`
	Peer    netip.AddrPort `yaml:"peer"` // serves the readiness probe
}

const (
	reorderDelay      = 3 * time.Millisecond // added to a packet to reorder it
	probeInterval     = 100 * time.Millisecond
	probeTimeout      = 200 * time.Millisecond
	socketBufferBytes = 4 << 20
	maxDatagramBytes  = 4096
)

// Fabric forwards each packet to a random ready entry instance.
type Fabric struct {
	cfg     FabricConfig
	conn    *net.UDPConn
	mu      sync.Mutex
	random  *rand.Rand
	ready   []netip.AddrPort
	Packets atomic.Int64
}

// StartFabric opens the fabric's UDP socket and forwards packets until ctx ends.
func StartFabric(ctx context.Context, cfg FabricConfig) (*Fabric, error) {
	conn, err := listenUDP(ctx, cfg.Listen)
	if err != nil {
		return nil, fmt.Errorf("start fabric: %w", err)
	}
	f := &Fabric{cfg: cfg, conn: conn, random: rand.New(rand.NewPCG(cfg.Seed, 1))}
	go f.pollReadiness(ctx)
	go f.run()
	return f, nil
}

// listenUDP opens a UDP socket that is closed when ctx ends.
func listenUDP(ctx context.Context, addr netip.AddrPort) (*net.UDPConn, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, err
	}
	conn.SetReadBuffer(socketBufferBytes)
	conn.SetWriteBuffer(socketBufferBytes)
	context.AfterFunc(ctx, func() { conn.Close() })
	return conn, nil
}

// Ready returns the number of ready entry instances.
func (f *Fabric) Ready() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.ready)
}

func (f *Fabric) run() {
	buf := make([]byte, maxDatagramBytes)
	for {
		n, _, err := f.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		f.Packets.Add(1)
		f.spray(append([]byte(nil), buf[:n]...))
	}
}

func (f *Fabric) spray(d []byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.ready) == 0 || f.random.Float64() < f.cfg.Loss {
		return
	}
	copies := 1
	if f.random.Float64() < f.cfg.Duplicate {
		copies = 2
	}
	for range copies {
		to := f.ready[f.random.IntN(len(f.ready))]
		delay := f.cfg.Delay
		if f.random.Float64() < f.cfg.Reorder {
			delay += reorderDelay
		}
		if delay == 0 {
			f.conn.WriteToUDPAddrPort(d, to)
			continue
		}
		time.AfterFunc(delay, func() { f.conn.WriteToUDPAddrPort(d, to) })
	}
}

// pollReadiness probes all entry instances at intervals and updates the ready ones.
func (f *Fabric) pollReadiness(ctx context.Context) {
	client := &http.Client{Timeout: probeTimeout}
	for ctx.Err() == nil {
		readiness := make([]bool, len(f.cfg.Entries))
		var wg sync.WaitGroup
		for i, e := range f.cfg.Entries {
			wg.Add(1)
			go func() {
				defer wg.Done()
				readiness[i] = probeReady(ctx, client, e.Peer)
			}()
		}
		wg.Wait()
		f.setReady(readiness)
		timer.Sleep(ctx, probeInterval)
	}
}

func (f *Fabric) setReady(readiness []bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ready = nil
	for i, ok := range readiness {
		if ok {
			f.ready = append(f.ready, f.cfg.Entries[i].Packets)
		}
	}
}

func probeReady(ctx context.Context, client *http.Client, addr netip.AddrPort) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr.String()+"/readyz", nil)
	if err != nil {
		return false
	}
	resp, err := client.Do(req)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
