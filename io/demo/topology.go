// Package demo runs a small complete deployment in one process on loopback
// addresses: control replicas, entry instances, and stand-ins for the fabric,
// backend servers and callers.
//
// # Usage
//
//	topology, err := demo.NewTopology(dir, seed)
//	report, err := demo.Run(ctx, demo.Options{Seed: 1, Progress: os.Stderr})
package demo

import (
	"fmt"
	"net/netip"
	"path/filepath"
	"time"

	"boragepost/core/model"
	"boragepost/io/addrs"
	"boragepost/io/conf"
	"boragepost/io/stand"
)

// Ports are the same on every address, because each process has its own address.
const (
	portPackets = 7000
	portHTTP    = 8000
	portPeer    = 9000
	portControl = 9100
	portService = 443
)

// Host numbers within the /24 subnet of a topology.
const (
	hostFabric  = 1
	hostControl = 10
	hostEntry   = 20
	hostServer  = 100
)

// Topology holds the settings and addresses of a deployment: three availability
// zones, each with one control replica and two entry instances, and two services.
type Topology struct {
	Dir      string
	Zones    []string
	Controls []conf.Control
	Entries  []conf.Entry
	Services []model.Service
	Servers  []stand.ServerConfig
	Fabric   netip.AddrPort
	subnet   *addrs.Subnet
}

const (
	zoneCount      = 3
	entriesPerZone = 2
	idleTimeout    = 6 * time.Second
	drainTimeout   = 60 * time.Second
)

// NewTopology plans a deployment on a loopback subnet that is reserved until the topology
// is garbage or the process ends. The replicas' data is below dir.
func NewTopology(dir string, seed uint64) (*Topology, error) {
	subnet, err := addrs.Reserve()
	if err != nil {
		return nil, fmt.Errorf("plan addresses: %w", err)
	}
	t := &Topology{Dir: dir, subnet: subnet}
	t.Fabric = t.addr(hostFabric, portPackets)
	for z := range zoneCount {
		t.Zones = append(t.Zones, fmt.Sprintf("qc-est-%d", z+1))
	}
	t.planControls()
	t.planEntries()
	t.planServices()
	t.planServers("comptoir", 14, 2, seed)
	t.planServers("catalogue", 4, 2, seed)
	return t, nil
}

func (t *Topology) addr(host int, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(t.subnet.Host(byte(host)), port)
}

func (t *Topology) planControls() {
	replicas := map[string]netip.AddrPort{}
	for z := range zoneCount {
		replicas[fmt.Sprintf("control-%d", z+1)] = t.addr(hostControl+z, portControl)
	}
	for z, zone := range t.Zones {
		name := fmt.Sprintf("control-%d", z+1)
		t.Controls = append(t.Controls, conf.Control{
			Role: "control", Name: name, Zone: zone, Listen: replicas[name],
			Data: filepath.Join(t.Dir, name), Replicas: replicas,
			Security: conf.Security{InsecureLoopback: true},
		})
	}
}

func (t *Topology) planEntries() {
	for i := range zoneCount * entriesPerZone {
		zone := i % zoneCount
		e := conf.Entry{
			Role: "entry", Name: fmt.Sprintf("entry-%d", i+1), Zone: t.Zones[zone],
			Packets: t.addr(hostEntry+i, portPackets), Gateway: t.addr(hostEntry+i, portHTTP),
			Peer:     t.addr(hostEntry+i, portPeer),
			Security: conf.Security{InsecureLoopback: true},
		}
		for j := range zoneCount {
			e.Control = append(e.Control, t.Controls[(zone+j)%zoneCount].Listen)
		}
		t.Entries = append(t.Entries, e)
	}
}

func (t *Topology) planServices() {
	t.Services = []model.Service{
		{
			Name: "comptoir", Address: netip.MustParseAddrPort("192.0.2.1:443"), Sharing: "twoChoices",
			IdleTimeout: model.Duration(idleTimeout), DrainTimeout: model.Duration(drainTimeout),
			LongRoutes: []string{"/long"},
		},
		{
			Name: "catalogue", Address: netip.MustParseAddrPort("[2001:db8::1]:443"), Sharing: "leastInFlight",
			IdleTimeout: model.Duration(idleTimeout), DrainTimeout: model.Duration(drainTimeout),
		},
	}
}

func (t *Topology) planServers(service string, count, slots int, seed uint64) {
	var address netip.AddrPort
	for _, svc := range t.Services {
		if svc.Name == service {
			address = svc.Address
		}
	}
	var peers []netip.AddrPort
	for _, e := range t.Entries {
		peers = append(peers, e.Peer)
	}
	for i := range count {
		host := hostServer + len(t.Servers)
		t.Servers = append(t.Servers, stand.ServerConfig{
			Name: fmt.Sprintf("%s-%d", service, i+1), Service: service, Zone: t.Zones[i%zoneCount],
			Address: address, Packets: t.addr(host, portPackets), HTTP: t.addr(host, portHTTP),
			Announce: peers, Slots: slots, Queue: 4, Weight: 1,
			ShortTime: 4 * time.Millisecond, LongTime: 200 * time.Millisecond, WarmupDelay: 5 * time.Millisecond,
			Seed: seed + uint64(host),
		})
	}
}

// ControlEndpoints returns the endpoints of the resource API.
func (t *Topology) ControlEndpoints() []string {
	var out []string
	for _, c := range t.Controls {
		out = append(out, c.Listen.String())
	}
	return out
}

// Gateways returns the gateway endpoints of all entry instances.
func (t *Topology) Gateways() []netip.AddrPort {
	var out []netip.AddrPort
	for _, e := range t.Entries {
		out = append(out, e.Gateway)
	}
	return out
}

// EntryPoints returns the addresses of the entry instances that the fabric uses.
func (t *Topology) EntryPoints() []stand.EntryPoint {
	var out []stand.EntryPoint
	for _, e := range t.Entries {
		out = append(out, stand.EntryPoint{Packets: e.Packets, Peer: e.Peer})
	}
	return out
}

// Addresses returns the addresses of all services.
func (t *Topology) Addresses() []netip.AddrPort {
	var out []netip.AddrPort
	for _, svc := range t.Services {
		out = append(out, svc.Address)
	}
	return out
}
