// Package demo runs a whole small deployment inside one process on loopback
// addresses: control replicas, entry instances, and stand-ins for the fabric,
// backend servers and callers.
//
// # Usage
//
//	site, err := demo.NewSite(dir, seed)
//	report, err := demo.Run(ctx, demo.Options{Seed: 1, Progress: os.Stderr})
package demo

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"path/filepath"
	"time"

	"boragepost/core/model"
	"boragepost/io/conf"
	"boragepost/io/stand"
)

// Ports of every address of a site; each process has an address of its own.
const (
	portPackets = 7000
	portHTTP    = 8000
	portPeer    = 9000
	portControl = 9100
	portService = 443
)

// Host numbers within a site's range.
const (
	hostFabric  = 1
	hostControl = 10
	hostEntry   = 20
	hostServer  = 100
)

// Topology is the address plan of a deployment: three availability zones, each with
// one control replica and two entry instances, and two services.
type Topology struct {
	Dir      string
	Zones    []string
	Controls []conf.Control
	Entries  []conf.Entry
	Services []model.Service
	Servers  []stand.ServerConfig
	Fabric   netip.AddrPort
	subnet   [2]byte
}

const (
	zones          = 3
	entriesPerZone = 2
	demoIdle       = 6 * time.Second
	demoDrain      = 60 * time.Second
)

// NewTopology plans a deployment on an unused range of loopback addresses, with the
// replicas' data below dir.
func NewTopology(dir string, seed uint64) (*Topology, error) {
	s := &Topology{Dir: dir}
	if err := s.pickSubnet(); err != nil {
		return nil, err
	}
	s.Fabric = s.addr(hostFabric, portPackets)
	for z := range zones {
		s.Zones = append(s.Zones, fmt.Sprintf("qc-est-%d", z+1))
	}
	s.planControls()
	s.planEntries()
	s.planServices()
	s.planServers("comptoir", 14, 2, seed)
	s.planServers("catalogue", 4, 2, seed)
	return s, nil
}

// pickSubnet finds a range 127.a.b.0/24 that no other process uses.
func (s *Topology) pickSubnet() error {
	const tries = 64
	for range tries {
		s.subnet = [2]byte{byte(1 + rand.IntN(254)), byte(rand.IntN(256))}
		l, err := net.Listen("tcp", s.addr(hostControl, portControl).String())
		if err == nil {
			l.Close()
			return nil
		}
	}
	return fmt.Errorf("plan addresses: no free loopback range found")
}

func (s *Topology) addr(host int, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, s.subnet[0], s.subnet[1], byte(host)}), port)
}

func (s *Topology) planControls() {
	replicas := map[string]netip.AddrPort{}
	for z := range zones {
		replicas[fmt.Sprintf("control-%d", z+1)] = s.addr(hostControl+z, portControl)
	}
	for z, zone := range s.Zones {
		name := fmt.Sprintf("control-%d", z+1)
		s.Controls = append(s.Controls, conf.Control{
			Role: "control", Name: name, Zone: zone, Listen: replicas[name],
			Data: filepath.Join(s.Dir, name), Replicas: replicas,
			Security: conf.Security{InsecureLoopback: true},
		})
	}
}

func (s *Topology) planEntries() {
	for i := range zones * entriesPerZone {
		zone := i % zones
		e := conf.Entry{
			Role: "entry", Name: fmt.Sprintf("entry-%d", i+1), Zone: s.Zones[zone],
			Packets: s.addr(hostEntry+i, portPackets), Gateway: s.addr(hostEntry+i, portHTTP),
			Peer:     s.addr(hostEntry+i, portPeer),
			Security: conf.Security{InsecureLoopback: true},
		}
		for j := range zones {
			e.Control = append(e.Control, s.Controls[(zone+j)%zones].Listen)
		}
		s.Entries = append(s.Entries, e)
	}
}

func (s *Topology) planServices() {
	s.Services = []model.Service{
		{
			Name: "comptoir", Address: netip.MustParseAddrPort("192.0.2.1:443"), Sharing: "twoChoices",
			IdleTimeout: model.Duration(demoIdle), DrainTimeout: model.Duration(demoDrain),
			LongRoutes: []string{"/long"},
		},
		{
			Name: "catalogue", Address: netip.MustParseAddrPort("[2001:db8::1]:443"), Sharing: "leastInFlight",
			IdleTimeout: model.Duration(demoIdle), DrainTimeout: model.Duration(demoDrain),
		},
	}
}

func (s *Topology) planServers(service string, count, slots int, seed uint64) {
	var address netip.AddrPort
	for _, svc := range s.Services {
		if svc.Name == service {
			address = svc.Address
		}
	}
	var peers []netip.AddrPort
	for _, e := range s.Entries {
		peers = append(peers, e.Peer)
	}
	for i := range count {
		host := hostServer + len(s.Servers)
		s.Servers = append(s.Servers, stand.ServerConfig{
			Name: fmt.Sprintf("%s-%d", service, i+1), Service: service, Zone: s.Zones[i%zones],
			Address: address, Packets: s.addr(host, portPackets), HTTP: s.addr(host, portHTTP),
			Announce: peers, Slots: slots, Queue: 4, Weight: 1,
			ShortTime: 4 * time.Millisecond, LongTime: 200 * time.Millisecond, ColdTime: 5 * time.Millisecond,
			Seed: seed + uint64(host),
		})
	}
}

// ControlEndpoints returns the endpoints of the resource API.
func (s *Topology) ControlEndpoints() []string {
	var out []string
	for _, c := range s.Controls {
		out = append(out, c.Listen.String())
	}
	return out
}

// Gateways returns the gateway endpoints of all entry instances.
func (s *Topology) Gateways() []netip.AddrPort {
	var out []netip.AddrPort
	for _, e := range s.Entries {
		out = append(out, e.Gateway)
	}
	return out
}

// EntryPoints returns the entry instances as the fabric sees them.
func (s *Topology) EntryPoints() []stand.EntryPoint {
	var out []stand.EntryPoint
	for _, e := range s.Entries {
		out = append(out, stand.EntryPoint{Packets: e.Packets, Peer: e.Peer})
	}
	return out
}

// Addresses returns the addresses of all services.
func (s *Topology) Addresses() []netip.AddrPort {
	var out []netip.AddrPort
	for _, svc := range s.Services {
		out = append(out, svc.Address)
	}
	return out
}
