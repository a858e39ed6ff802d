// Package packet reads and writes the datagrams between the fabric, the entry
// instances and the backend servers: one inner IP packet in GUE over UDP.
//
// Version 1 of GUE carries the bare inner packet; version 0 has a header of four
// or more bytes before it. Both are read; version 1 is written. A stock kernel
// decapsulates either, so a backend server needs no software of this project.
//
// # Usage
//
//	p := packet.NewParser()
//	inner, header, err := p.Parse(datagram)
//
// A Parser belongs to one goroutine. Parse does not allocate for well-formed
// packets.
package packet

import (
	"encoding/binary"
	"errors"
	"fmt"
	"net/netip"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"

	"boragepost/core/flow"
)

// The faults of a datagram. Parse wraps them.
var (
	ErrTruncated   = errors.New("truncated")
	ErrVersion     = errors.New("unknown GUE version")
	ErrControl     = errors.New("GUE control message")
	ErrProtocol    = errors.New("unsupported protocol")
	ErrFragment    = errors.New("IP fragment")
	ErrMalformed   = errors.New("malformed packet")
	errNoTransport = errors.New("no transport header")
)

const (
	gueHeaderBytes = 4
	protoIPv4      = 4
	protoIPv6      = 41
	// quotedPortBytes is the part of the quoted transport header that every
	// ICMP error carries and that holds both ports.
	quotedPortBytes = 4
)

// Parser decodes datagrams.
type Parser struct {
	v4     layers.IPv4
	v6     layers.IPv6
	tcp    layers.TCP
	udp    layers.UDP
	icmp4  layers.ICMPv4
	icmp6  layers.ICMPv6
	from4  *gopacket.DecodingLayerParser
	from6  *gopacket.DecodingLayerParser
	layers []gopacket.LayerType
	quote  *Parser // decodes the packet that an ICMP error quotes
}

// NewParser returns a parser.
func NewParser() *Parser {
	p := newParser()
	p.quote = newParser()
	return p
}

func newParser() *Parser {
	p := &Parser{}
	all := []gopacket.DecodingLayer{&p.v4, &p.v6, &p.tcp, &p.udp, &p.icmp4, &p.icmp6}
	p.from4 = gopacket.NewDecodingLayerParser(layers.LayerTypeIPv4, all...)
	p.from6 = gopacket.NewDecodingLayerParser(layers.LayerTypeIPv6, all...)
	p.from4.IgnoreUnsupported, p.from6.IgnoreUnsupported = true, true
	return p
}

// Parse returns the inner packet of a datagram, which shares its memory, and
// the header of its flow. The header of an ICMP error is that of the flow which
// the error quotes.
func (p *Parser) Parse(datagram []byte) ([]byte, flow.Header, error) {
	inner, err := decapsulate(datagram)
	if err != nil {
		return nil, flow.Header{}, fmt.Errorf("decapsulate: %w", err)
	}
	h, err := p.header(inner)
	if err != nil {
		return nil, flow.Header{}, fmt.Errorf("inner packet: %w", err)
	}
	return inner, h, nil
}

func decapsulate(d []byte) ([]byte, error) {
	if len(d) < gueHeaderBytes {
		return nil, ErrTruncated
	}
	switch d[0] >> 6 {
	case 1:
		return d, nil
	case 0:
		return decapsulateV0(d)
	default:
		return nil, ErrVersion
	}
}

func decapsulateV0(d []byte) ([]byte, error) {
	if d[0]&0x20 != 0 {
		return nil, ErrControl
	}
	if d[1] != protoIPv4 && d[1] != protoIPv6 {
		return nil, ErrProtocol
	}
	size := gueHeaderBytes + int(d[0]&0x1f)*4
	if len(d) <= size {
		return nil, ErrTruncated
	}
	return d[size:], nil
}

func (p *Parser) header(inner []byte) (flow.Header, error) {
	if len(inner) == 0 {
		return flow.Header{}, ErrTruncated
	}
	parser := p.from4
	switch inner[0] >> 4 {
	case 4:
	case 6:
		parser = p.from6
	default:
		return flow.Header{}, ErrMalformed
	}
	if err := parser.DecodeLayers(inner, &p.layers); err != nil {
		return flow.Header{}, ErrMalformed
	}
	src, dst, fragment := p.addresses()
	if fragment {
		return flow.Header{}, ErrFragment
	}
	// A packet inside the inner packet would name another flow than the one
	// whose addresses the backend server sees.
	if len(p.layers) != 2 {
		return flow.Header{}, ErrProtocol
	}
	return p.transport(src, dst)
}

// addresses returns the addresses of the decoded IP header, and whether the
// packet is a fragment, which need not have ports.
func (p *Parser) addresses() (src, dst netip.Addr, fragment bool) {
	if p.layers[0] == layers.LayerTypeIPv4 {
		src, _ = netip.AddrFromSlice(p.v4.SrcIP)
		dst, _ = netip.AddrFromSlice(p.v4.DstIP)
		return src, dst, p.v4.FragOffset != 0 || p.v4.Flags&layers.IPv4MoreFragments != 0
	}
	src, _ = netip.AddrFromSlice(p.v6.SrcIP)
	dst, _ = netip.AddrFromSlice(p.v6.DstIP)
	return src, dst, p.v6.NextHeader == layers.IPProtocolIPv6Fragment
}

func (p *Parser) transport(src, dst netip.Addr) (flow.Header, error) {
	switch p.layers[len(p.layers)-1] {
	case layers.LayerTypeTCP:
		return flow.Header{
			Source:   netip.AddrPortFrom(src, uint16(p.tcp.SrcPort)),
			Dest:     netip.AddrPortFrom(dst, uint16(p.tcp.DstPort)),
			Protocol: flow.TCP,
			Start:    p.tcp.SYN && !p.tcp.ACK,
			Finish:   p.tcp.FIN || p.tcp.RST,
		}, nil
	case layers.LayerTypeUDP:
		return flow.Header{
			Source:   netip.AddrPortFrom(src, uint16(p.udp.SrcPort)),
			Dest:     netip.AddrPortFrom(dst, uint16(p.udp.DstPort)),
			Protocol: flow.UDP,
		}, nil
	case layers.LayerTypeICMPv4:
		return p.quotedFlow(p.icmp4.Payload, isError4(p.icmp4.TypeCode.Type()))
	case layers.LayerTypeICMPv6:
		// The four bytes after the ICMPv6 header belong to the message.
		if len(p.icmp6.Payload) < 4 {
			return flow.Header{}, ErrTruncated
		}
		return p.quotedFlow(p.icmp6.Payload[4:], p.icmp6.TypeCode.Type() < layers.ICMPv6TypeEchoRequest)
	default:
		return flow.Header{}, ErrProtocol
	}
}

func isError4(t uint8) bool {
	switch t {
	case layers.ICMPv4TypeDestinationUnreachable, layers.ICMPv4TypeSourceQuench,
		layers.ICMPv4TypeTimeExceeded, layers.ICMPv4TypeParameterProblem:
		return true
	default:
		return false
	}
}

// quotedFlow returns the flow of a quoted packet. The quoted packet is an answer
// from the service to the caller, so its ends are swapped.
func (p *Parser) quotedFlow(quoted []byte, isError bool) (flow.Header, error) {
	if !isError || p.quote == nil || len(quoted) == 0 {
		return flow.Header{}, ErrProtocol
	}
	q := p.quote
	src, dst, proto, rest, err := q.quotedAddresses(quoted)
	if err != nil {
		return flow.Header{}, err
	}
	if proto != flow.TCP && proto != flow.UDP {
		return flow.Header{}, ErrProtocol
	}
	if len(rest) < quotedPortBytes {
		return flow.Header{}, errNoTransport
	}
	return flow.Header{
		Source:   netip.AddrPortFrom(dst, binary.BigEndian.Uint16(rest[2:])),
		Dest:     netip.AddrPortFrom(src, binary.BigEndian.Uint16(rest[0:])),
		Protocol: proto,
	}, nil
}

// quotedAddresses decodes the IP header of a quoted packet, which is cut off
// after a few bytes of its transport header.
func (p *Parser) quotedAddresses(b []byte) (src, dst netip.Addr, proto uint8, rest []byte, err error) {
	switch b[0] >> 4 {
	case 4:
		err = p.v4.DecodeFromBytes(b, gopacket.NilDecodeFeedback)
		proto, rest = uint8(p.v4.Protocol), p.v4.Payload
		src, _ = netip.AddrFromSlice(p.v4.SrcIP)
		dst, _ = netip.AddrFromSlice(p.v4.DstIP)
	case 6:
		err = p.v6.DecodeFromBytes(b, gopacket.NilDecodeFeedback)
		proto, rest = uint8(p.v6.NextHeader), p.v6.Payload
		src, _ = netip.AddrFromSlice(p.v6.SrcIP)
		dst, _ = netip.AddrFromSlice(p.v6.DstIP)
	default:
		err = ErrMalformed
	}
	if err != nil {
		return src, dst, 0, nil, ErrMalformed
	}
	return src, dst, proto, rest, nil
}
