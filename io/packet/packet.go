// Package packet decodes the datagrams between the fabric, the entry instances
// and the backend servers: one inner IP packet in GUE over UDP.
//
// GUE version 1 carries the bare inner packet; version 0 prepends a header of
// at least four bytes. Both are decoded; entry instances forward the inner
// packet as version 1. An unmodified kernel decapsulates either, so a backend
// server needs no software of this project.
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

// The errors that Parse wraps.
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
	// quotedPortBytes is the size of both ports at the start of a quoted
	// transport header. Every ICMP error quotes at least these.
	quotedPortBytes = 4
)

// Parser decodes datagrams. It reuses its buffers between calls.
type Parser struct {
	v4           layers.IPv4
	v6           layers.IPv6
	tcp          layers.TCP
	udp          layers.UDP
	icmp4        layers.ICMPv4
	icmp6        layers.ICMPv6
	ipv4Parser   *gopacket.DecodingLayerParser
	ipv6Parser   *gopacket.DecodingLayerParser
	layers       []gopacket.LayerType
	quotedParser *Parser // decodes the packet that an ICMP error quotes
}

// NewParser returns a parser.
func NewParser() *Parser {
	p := newParser()
	p.quotedParser = newParser()
	return p
}

func newParser() *Parser {
	p := &Parser{}
	decoders := []gopacket.DecodingLayer{&p.v4, &p.v6, &p.tcp, &p.udp, &p.icmp4, &p.icmp6}
	p.ipv4Parser = gopacket.NewDecodingLayerParser(layers.LayerTypeIPv4, decoders...)
	p.ipv6Parser = gopacket.NewDecodingLayerParser(layers.LayerTypeIPv6, decoders...)
	p.ipv4Parser.IgnoreUnsupported, p.ipv6Parser.IgnoreUnsupported = true, true
	return p
}

// Parse returns the inner packet of a datagram, which aliases the datagram, and
// the header that identifies its flow. For an ICMP error, that is the header of
// the quoted flow.
func (p *Parser) Parse(datagram []byte) ([]byte, flow.Header, error) {
	inner, err := decapsulate(datagram)
	if err != nil {
		return nil, flow.Header{}, fmt.Errorf("decapsulate: %w", err)
	}
	h, err := p.parseInner(inner)
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

func (p *Parser) parseInner(inner []byte) (flow.Header, error) {
	if len(inner) == 0 {
		return flow.Header{}, ErrTruncated
	}
	parser := p.ipv4Parser
	switch inner[0] >> 4 {
	case 4:
	case 6:
		parser = p.ipv6Parser
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
	// The ports of a nested packet would be combined with the addresses of the
	// outer one and identify a flow that the backend server does not see.
	if len(p.layers) != 2 {
		return flow.Header{}, ErrProtocol
	}
	return p.flowHeader(src, dst)
}

// addresses returns the addresses of the decoded IP header and whether the packet
// is a fragment, which may lack a transport header.
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

func (p *Parser) flowHeader(src, dst netip.Addr) (flow.Header, error) {
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
		return p.quotedFlow(p.icmp4.Payload, isICMPv4Error(p.icmp4.TypeCode.Type()))
	case layers.LayerTypeICMPv6:
		// The four bytes before the quoted packet depend on the message type.
		if len(p.icmp6.Payload) < 4 {
			return flow.Header{}, ErrTruncated
		}
		return p.quotedFlow(p.icmp6.Payload[4:], p.icmp6.TypeCode.Type() < layers.ICMPv6TypeEchoRequest)
	default:
		return flow.Header{}, ErrProtocol
	}
}

func isICMPv4Error(t uint8) bool {
	switch t {
	case layers.ICMPv4TypeDestinationUnreachable, layers.ICMPv4TypeSourceQuench,
		layers.ICMPv4TypeTimeExceeded, layers.ICMPv4TypeParameterProblem:
		return true
	default:
		return false
	}
}

// quotedFlow returns the flow of a quoted packet. The quoted packet was sent by
// the service to the caller, so source and destination are swapped.
func (p *Parser) quotedFlow(quoted []byte, isError bool) (flow.Header, error) {
	if !isError || p.quotedParser == nil || len(quoted) == 0 {
		return flow.Header{}, ErrProtocol
	}
	q := p.quotedParser
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

// quotedAddresses decodes the IP header of a quoted packet, which is truncated
// within or after its transport header.
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
