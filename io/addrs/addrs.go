// Package addrs reserves loopback addresses for tests and local deployments.
//
// A port that was found by opening and closing a listener on port 0 may be returned twice,
// and any outgoing connection or other process may take it before it is used. A reserved
// subnet 127.a.b.0/24 belongs to one holder among all processes on the machine. Outgoing
// connections cannot take its ports, because they come from 127.0.0.1.
//
// # Usage
//
//	subnet, err := addrs.Reserve()
//	defer subnet.Close()
//	addr := netip.AddrPortFrom(subnet.Host(1), 7000)
//
//	addr, err := addrs.FreeAddress() // on a subnet of this process
package addrs

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"syscall"
)

const (
	// The listener on lockHost and lockPort reserves a subnet. The port is above the
	// range of ephemeral ports of Linux, which ends at 60999.
	lockHost = 255
	lockPort = 61999
	// attempts is the number of subnets to try; there are 65,025.
	attempts = 64
	// Ports of free addresses are below the range of ephemeral ports, which starts at 32768.
	firstPort     = 10000
	portsPerHost  = 20000
	firstFreeHost = 1
)

// Subnet is a reserved subnet 127.a.b.0/24, of which the hosts 0 to 254 can be used.
type Subnet struct {
	a, b byte
	lock net.Listener
	mu   sync.Mutex
	free int // number of addresses that freeAddress has returned
}

// errNoSubnet means that all subnets that were tried are in use.
var errNoSubnet = errors.New("no free loopback subnet found")

// Reserve reserves a random subnet until it is closed or the process ends.
func Reserve() (*Subnet, error) {
	for range attempts {
		// 127.0.b.0 contains the addresses that programs use by default. 127.a.0.0 is used
		// by the cases in review, which choose their subnets themselves.
		s, err := reserve(byte(1+rand.IntN(255)), byte(1+rand.IntN(255)))
		if err == nil {
			return s, nil
		}
		if !errors.Is(err, syscall.EADDRINUSE) {
			return nil, err
		}
	}
	return nil, errNoSubnet
}

func reserve(a, b byte) (*Subnet, error) {
	s := &Subnet{a: a, b: b}
	lock, err := net.Listen("tcp", netip.AddrPortFrom(s.Host(lockHost), lockPort).String())
	if err != nil {
		return nil, fmt.Errorf("reserve loopback subnet: %w", err)
	}
	s.lock = lock
	return s, nil
}

// Host returns the address of a host.
func (s *Subnet) Host(n byte) netip.Addr { return netip.AddrFrom4([4]byte{127, s.a, s.b, n}) }

// Close ends the reservation.
func (s *Subnet) Close() error { return s.lock.Close() }

// freeAddress returns an address that it has not returned before.
func (s *Subnet) freeAddress() netip.AddrPort {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := s.free
	s.free++
	return netip.AddrPortFrom(s.Host(byte(firstFreeHost+n/portsPerHost)), uint16(firstPort+n%portsPerHost))
}

// processSubnet is reserved by the first call of FreeAddress.
var processSubnet = sync.OnceValues(Reserve)

// FreeAddress returns an address that it has not returned before and that no other process
// gets.
func FreeAddress() (netip.AddrPort, error) {
	s, err := processSubnet()
	if err != nil {
		return netip.AddrPort{}, err
	}
	return s.freeAddress(), nil
}
