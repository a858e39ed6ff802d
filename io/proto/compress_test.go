package proto_test

import (
	"net/netip"
	"testing"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/gomega"

	"boragepost/core/roster"
	"boragepost/io/proto"
)

func TestCompressedUpdateIsRestoredAndSmall(t *testing.T) {
	g := NewWithT(t)
	var u proto.Update
	for i := range 300 {
		u.Servers = append(u.Servers, roster.Server{
			ID: uint64(i) * 2654435761, Incarnation: 1796000000000 + uint64(i)*37, Sequence: 12, Service: "yard", Zone: "qc-est-a",
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), 8080), Slots: 2})
	}
	compressed, err := u.Compress()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(compressed.Expand()).To(Equal(u))
	plain, err := cbor.Marshal(u)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(len(compressed.Compressed)).To(BeNumerically("<", len(plain)/2))
	t.Logf("%d bytes, compressed %d", len(plain), len(compressed.Compressed))
}

func TestExpandReturnsAnErrorForDamagedData(t *testing.T) {
	g := NewWithT(t)
	u, err := proto.Update{Version: 7}.Compress()
	g.Expect(err).NotTo(HaveOccurred())
	for _, damaged := range [][]byte{{0xff, 1, 2}, u.Compressed[:len(u.Compressed)-2]} {
		_, err = proto.Update{Compressed: damaged}.Expand()
		g.Expect(err).To(HaveOccurred())
	}
	g.Expect(proto.Update{Version: 7}.Expand()).To(Equal(proto.Update{Version: 7}))
}
