// Package stand provides stand-ins for the system's environment: the fabric
// that sprays packets, backend servers, and callers. They speak the published
// protocols and count failures themselves, so that tests and the demo do not
// depend on the system's own reports.
//
// # Usage
//
//	fabric, err := stand.StartFabric(ctx, stand.FabricConfig{...})
//	server, err := stand.StartServer(ctx, stand.ServerConfig{...})
//	flows, err := stand.StartFlowGenerator(ctx, stand.FlowGeneratorConfig{...})
//	requests := stand.StartRequestGenerator(ctx, stand.RequestGeneratorConfig{...})
package stand

import (
	"fmt"
	"net"
	"net/netip"

	"github.com/fxamacker/cbor/v2"
	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"
)

// segment is an inner packet of a flow between a caller and a backend server.
type segment struct {
	from, to      netip.AddrPort
	syn, ack, rst bool
	fin, udp      bool
	payload       payload
}

// payload is the application data of a segment.
type payload struct {
	// Reply is the caller's real UDP port, to which the backend server responds
	// directly.
	Reply  uint16 `cbor:"1,keyasint"`
	Seq    uint32 `cbor:"2,keyasint"`
	Cookie uint64 `cbor:"3,keyasint,omitempty"`
	Server string `cbor:"4,keyasint,omitempty"`
}

const hopLimit = 64

// encode returns the segment as a GUE version 1 datagram, which is the bare
// inner packet.
func (s segment) encode() ([]byte, error) {
	data, err := cbor.Marshal(s.payload)
	if err != nil {
		return nil, fmt.Errorf("encode payload: %w", err)
	}
	ip, network := s.ipLayer()
	var transport gopacket.SerializableLayer
	if s.udp {
		u := &layers.UDP{SrcPort: layers.UDPPort(s.from.Port()), DstPort: layers.UDPPort(s.to.Port())}
		u.SetNetworkLayerForChecksum(network)
		transport = u
	} else {
		t := &layers.TCP{
			SrcPort: layers.TCPPort(s.from.Port()), DstPort: layers.TCPPort(s.to.Port()),
			Seq: s.payload.Seq, SYN: s.syn, ACK: s.ack, RST: s.rst, FIN: s.fin, Window: 65535,
		}
		t.SetNetworkLayerForChecksum(network)
		transport = t
	}
	buf := gopacket.NewSerializeBuffer()
	opts := gopacket.SerializeOptions{FixLengths: true, ComputeChecksums: true}
	if err := gopacket.SerializeLayers(buf, opts, ip, transport, gopacket.Payload(data)); err != nil {
		return nil, fmt.Errorf("encode segment: %w", err)
	}
	return buf.Bytes(), nil
}

func (s segment) ipLayer() (gopacket.SerializableLayer, gopacket.NetworkLayer) {
	proto := layers.IPProtocolTCP
	if s.udp {
		proto = layers.IPProtocolUDP
	}
	if s.from.Addr().Is4() {
		ip := &layers.IPv4{
			Version: 4, TTL: hopLimit, Protocol: proto,
			SrcIP: net.IP(s.from.Addr().AsSlice()), DstIP: net.IP(s.to.Addr().AsSlice()),
		}
		return ip, ip
	}
	ip := &layers.IPv6{
		Version: 6, HopLimit: hopLimit, NextHeader: proto,
		SrcIP: net.IP(s.from.Addr().AsSlice()), DstIP: net.IP(s.to.Addr().AsSlice()),
	}
	return ip, ip
}

// decodeSegment decodes a datagram that encode has written. It skips a GUE
// version 0 header if there is one.
func decodeSegment(d []byte) (segment, error) {
	if len(d) > 4 && d[0]>>6 == 0 {
		d = d[4+int(d[0]&0x1f)*4:]
	}
	firstLayer := layers.LayerTypeIPv4
	if len(d) > 0 && d[0]>>4 == 6 {
		firstLayer = layers.LayerTypeIPv6
	}
	packet := gopacket.NewPacket(d, firstLayer, gopacket.DecodeOptions{NoCopy: true})
	var s segment
	src, dst := ipAddresses(packet)
	switch t := packet.TransportLayer().(type) {
	case *layers.TCP:
		s.from, s.to = netip.AddrPortFrom(src, uint16(t.SrcPort)), netip.AddrPortFrom(dst, uint16(t.DstPort))
		s.syn, s.ack, s.rst, s.fin = t.SYN, t.ACK, t.RST, t.FIN
	case *layers.UDP:
		s.from, s.to = netip.AddrPortFrom(src, uint16(t.SrcPort)), netip.AddrPortFrom(dst, uint16(t.DstPort))
		s.udp = true
	default:
		return s, fmt.Errorf("decode segment: no transport layer")
	}
	if app := packet.ApplicationLayer(); app != nil {
		if err := cbor.Unmarshal(app.Payload(), &s.payload); err != nil {
			return s, fmt.Errorf("decode payload: %w", err)
		}
	}
	return s, nil
}

func ipAddresses(packet gopacket.Packet) (src, dst netip.Addr) {
	switch ip := packet.NetworkLayer().(type) {
	case *layers.IPv4:
		src, _ = netip.AddrFromSlice(ip.SrcIP)
		dst, _ = netip.AddrFromSlice(ip.DstIP)
	case *layers.IPv6:
		src, _ = netip.AddrFromSlice(ip.SrcIP)
		dst, _ = netip.AddrFromSlice(ip.DstIP)
	}
	return src, dst
}
