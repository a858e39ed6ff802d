package state_test

import (
	"fmt"
	"net/netip"
	"testing"

	"boragepost/core/model"
	"boragepost/core/state"
)

// BenchmarkAnnounce replaces backend servers in deployments of several sizes.
func BenchmarkAnnounce(b *testing.B) {
	for _, servers := range []int{300, 1200, 4800} {
		b.Run(fmt.Sprint(servers), func(b *testing.B) {
			s := deployment(servers)
			for i := 0; b.Loop(); i++ {
				server := backendServer(i % servers)
				server.Incarnation = uint64(i + 2)
				s.Apply(s.Index()+1, model.Command{Announce: &model.Announce{Server: server}})
			}
		})
	}
}

// deployment returns a state with three backend servers per service.
func deployment(servers int) *state.State {
	s := state.New()
	for i := range servers / 3 {
		addr := netip.AddrFrom4([4]byte{192, byte(i >> 16), byte(i >> 8), byte(i)})
		s.Apply(s.Index()+1, model.Command{PutService: &model.PutService{Force: true, Service: model.Service{
			Name: fmt.Sprint("service-", i), Address: netip.AddrPortFrom(addr, 443), IdleTimeout: 60e9,
		}}})
	}
	for i := range servers {
		s.Apply(s.Index()+1, model.Command{Announce: &model.Announce{Server: backendServer(i)}})
	}
	return s
}

func backendServer(i int) model.BackendServer {
	addr := netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)})
	return model.BackendServer{
		Name: fmt.Sprint("server-", i), Service: fmt.Sprint("service-", i/3), Packets: netip.AddrPortFrom(addr, 7000),
		HTTP: netip.AddrPortFrom(addr, 8000), Slots: 2, Incarnation: 1,
	}
}
