package packet_test

import (
	"encoding/hex"
	"errors"
	"flag"
	"net"
	"os"
	"strings"
	"testing"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"
	. "github.com/onsi/gomega"

	"boragepost/core/flow"
	"boragepost/io/packet"
)

var update = flag.Bool("update", false, "write the golden file")

// sample is a datagram with its name in the golden file.
type sample struct {
	name string
	data []byte
}

func serialize(parts ...gopacket.SerializableLayer) []byte {
	buf := gopacket.NewSerializeBuffer()
	if err := gopacket.SerializeLayers(buf, gopacket.SerializeOptions{FixLengths: true}, parts...); err != nil {
		panic(err)
	}
	return buf.Bytes()
}

func ip4(proto layers.IPProtocol, src, dst string) *layers.IPv4 {
	return &layers.IPv4{Version: 4, TTL: 64, Protocol: proto, SrcIP: net.ParseIP(src).To4(), DstIP: net.ParseIP(dst).To4()}
}

func ip6(proto layers.IPProtocol, src, dst string) *layers.IPv6 {
	return &layers.IPv6{Version: 6, HopLimit: 64, NextHeader: proto, SrcIP: net.ParseIP(src), DstIP: net.ParseIP(dst)}
}

func samples() []sample {
	const caller, service = "198.51.100.7", "192.0.2.1"
	const caller6, service6 = "2001:db8::7", "2001:db8::1"
	tcp := &layers.TCP{SrcPort: 40000, DstPort: 443, SYN: true}
	ack := &layers.TCP{SrcPort: 40000, DstPort: 443, ACK: true}
	fromService := &layers.TCP{SrcPort: 443, DstPort: 40000, ACK: true}
	udp := &layers.UDP{SrcPort: 40000, DstPort: 443}
	syn := serialize(ip4(layers.IPProtocolTCP, caller, service), tcp)
	quotedTCP := serialize(ip4(layers.IPProtocolTCP, service, caller), fromService)
	quotedTCP6 := serialize(ip6(layers.IPProtocolTCP, service6, caller6), fromService)
	icmp := &layers.ICMPv4{TypeCode: layers.CreateICMPv4TypeCode(layers.ICMPv4TypeDestinationUnreachable, layers.ICMPv4CodeFragmentationNeeded)}
	echo := &layers.ICMPv4{TypeCode: layers.CreateICMPv4TypeCode(layers.ICMPv4TypeEchoRequest, 0)}
	icmp6 := &layers.ICMPv6{TypeCode: layers.CreateICMPv6TypeCode(layers.ICMPv6TypePacketTooBig, 0)}
	fragment := ip4(layers.IPProtocolTCP, caller, service)
	fragment.FragOffset = 100
	return []sample{
		{"tcp syn", syn},
		{"tcp ack", serialize(ip4(layers.IPProtocolTCP, caller, service), ack)},
		{"tcp6 syn", serialize(ip6(layers.IPProtocolTCP, caller6, service6), tcp)},
		{"udp", serialize(ip4(layers.IPProtocolUDP, caller, service), udp, gopacket.Payload("x"))},
		{"gue version 0", append([]byte{0, 4, 0, 0}, syn...)},
		{"gue version 0 with options", append([]byte{1, 4, 0, 0, 9, 9, 9, 9}, syn...)},
		{"gue control", append([]byte{0x20, 4, 0, 0}, syn...)},
		{"gue version 2", append([]byte{0x80, 4, 0, 0}, syn...)},
		{"icmp quotes the answer", serialize(ip4(layers.IPProtocolICMPv4, "203.0.113.9", service), icmp, gopacket.Payload(quotedTCP[:28]))},
		{"icmp quotes too little", serialize(ip4(layers.IPProtocolICMPv4, "203.0.113.9", service), icmp, gopacket.Payload(quotedTCP[:22]))},
		{"icmp6 quotes the answer", serialize(ip6(layers.IPProtocolICMPv6, "2001:db8::9", service6), icmp6,
			gopacket.Payload(append([]byte{0, 0, 5, 0}, quotedTCP6[:48]...)))},
		{"icmp echo", serialize(ip4(layers.IPProtocolICMPv4, caller, service), echo)},
		{"fragment", serialize(fragment, ack)},
		{"truncated", syn[:24]},
		{"empty", nil},
		{"nested", serialize(ip4(layers.IPProtocolIPv4, caller, service), gopacket.Payload(syn))},
	}
}

// TestParse compares the result of Parse for each sample with the golden file.
func TestParse(t *testing.T) {
	g := NewWithT(t)
	p := packet.NewParser()
	var out strings.Builder
	for _, s := range samples() {
		_, h, err := p.Parse(s.data)
		out.WriteString(s.name + ": ")
		if err != nil {
			out.WriteString("error: " + err.Error() + "\n")
			continue
		}
		out.WriteString(h.Source.String() + " -> " + h.Dest.String())
		for name, on := range map[string]bool{"start": h.Start, "finish": h.Finish} {
			if on {
				out.WriteString(" " + name)
			}
		}
		out.WriteString("\n")
	}
	const golden = "testdata/parse.golden"
	if *update {
		g.Expect(os.WriteFile(golden, []byte(out.String()), 0o644)).To(Succeed())
	}
	want, err := os.ReadFile(golden)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(out.String()).To(Equal(string(want)))
}

// TestParseWrapsErrors checks that Parse wraps the exported errors.
func TestParseWrapsErrors(t *testing.T) {
	g := NewWithT(t)
	_, _, err := packet.NewParser().Parse([]byte{0x80, 0, 0, 0, 0})
	g.Expect(errors.Is(err, packet.ErrVersion)).To(BeTrue())
}

// TestParseDoesNotAllocate guards the data plane against garbage collection
// costs.
func TestParseDoesNotAllocate(t *testing.T) {
	g := NewWithT(t)
	p := packet.NewParser()
	syn := samples()[0].data
	g.Expect(testing.AllocsPerRun(1000, func() { p.Parse(syn) })).To(BeZero())
}

// FuzzParse checks that arbitrary datagrams do not panic and that an accepted one
// has valid addresses and a supported protocol.
func FuzzParse(f *testing.F) {
	for _, s := range samples() {
		f.Add(s.data)
	}
	p := packet.NewParser()
	f.Fuzz(func(t *testing.T, data []byte) {
		inner, h, err := p.Parse(data)
		if err != nil {
			return
		}
		if len(inner) == 0 || !h.Source.IsValid() || !h.Dest.IsValid() || h.Protocol != flow.TCP && h.Protocol != flow.UDP {
			t.Fatalf("accepted %s as %+v", hex.EncodeToString(data), h)
		}
	})
}

func BenchmarkParse(b *testing.B) {
	p := packet.NewParser()
	syn := samples()[0].data
	for b.Loop() {
		p.Parse(syn)
	}
}
