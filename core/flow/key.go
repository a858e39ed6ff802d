package flow

import (
	"encoding/binary"
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

// Protocol numbers of the transport protocols that can start a flow.
const (
	TCP uint8 = 6
	UDP uint8 = 17
)

// Header holds the packet fields that Balancer uses.
type Header struct {
	Source, Dest netip.AddrPort
	Protocol     uint8
	Start        bool // a TCP SYN without ACK
	Finish       bool // a TCP FIN or RST
}

// Key identifies a flow by the hash of its addresses, ports and protocol.
type Key uint64

// Key returns the flow key of a packet from the caller. It is the same for all
// such packets of a flow and on every instance.
func (h Header) Key() Key {
	var b [37]byte
	src, dst := h.Source.Addr().As16(), h.Dest.Addr().As16()
	copy(b[0:], src[:])
	copy(b[16:], dst[:])
	binary.BigEndian.PutUint16(b[32:], h.Source.Port())
	binary.BigEndian.PutUint16(b[34:], h.Dest.Port())
	b[36] = h.Protocol
	return Key(xxhash.Sum64(b[:]))
}
