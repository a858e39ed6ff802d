package harness

import (
	"encoding/binary"
	"errors"
	"hash/fnv"
	"net/netip"
)

// The bits of packet.flags.
const (
	flagRST = 1
	flagSYN = 4
	flagFIN = 32
	flagACK = 64
)

const headBytes = 34

// sumKey is known to callers and backend servers only.
const sumKey = "the key of the review"

// packet is a packet as callers and backend servers write it.
type packet struct {
	sum      uint32
	flags    byte
	from, to netip.AddrPort
	echo     uint32
	seq, ack uint32
	data     []byte
}

// keyedSum covers everything but the echo.
func (p packet) keyedSum() uint32 {
	p.sum, p.echo = 0, 0
	h := fnv.New32a()
	h.Write([]byte(sumKey))
	h.Write(p.bytes())
	return h.Sum32()
}

// bytes returns the packet as it is, with the sum that it has.
func (p packet) bytes() []byte {
	b := make([]byte, headBytes, headBytes+len(p.data))
	binary.BigEndian.PutUint32(b[0:], p.sum)
	b[4] = p.flags
	binary.BigEndian.PutUint16(b[8:], uint16(len(p.data)))
	from, to := p.from.Addr().As4(), p.to.Addr().As4()
	copy(b[10:], from[:])
	binary.BigEndian.PutUint16(b[14:], p.from.Port())
	copy(b[16:], to[:])
	binary.BigEndian.PutUint16(b[20:], p.to.Port())
	binary.BigEndian.PutUint32(b[22:], p.echo)
	binary.BigEndian.PutUint32(b[26:], p.seq)
	binary.BigEndian.PutUint32(b[30:], p.ack)
	return append(b, p.data...)
}

// signed returns the bytes of the packet with its sum.
func (p packet) signed() []byte {
	p.sum = p.keyedSum()
	return p.bytes()
}

var errPacket = errors.New("this is no packet")

func parsePacket(b []byte) (packet, error) {
	if len(b) < headBytes || int(binary.BigEndian.Uint16(b[8:])) != len(b)-headBytes {
		return packet{}, errPacket
	}
	address := func(at int) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[at:at+4])), binary.BigEndian.Uint16(b[at+4:]))
	}
	return packet{
		sum: binary.BigEndian.Uint32(b), flags: b[4], from: address(10), to: address(16),
		echo: binary.BigEndian.Uint32(b[22:]), seq: binary.BigEndian.Uint32(b[26:]), ack: binary.BigEndian.Uint32(b[30:]),
		data: append([]byte(nil), b[headBytes:]...),
	}, nil
}
