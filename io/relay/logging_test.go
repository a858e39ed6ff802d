package relay_test

import (
	"context"
	"encoding/binary"
	"io"
	"net"
	"net/netip"
	"os"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"
	"golang.org/x/sys/unix"

	"boragepost/core/flow"
	"boragepost/core/roster"
	"boragepost/io/logs"
	"boragepost/io/relay"
)

// numbered is a packet format of two bytes that number the flow. Every packet opens
// one.
func numbered() relay.PacketFormat {
	return relay.PacketFormat{
		Parse: func(p []byte) (flow.CookieHeader, error) {
			from := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 9}), binary.BigEndian.Uint16(p))
			return flow.CookieHeader{Source: from, Dest: yard, Start: true}, nil
		},
		Encapsulate: func(dst, p []byte, _ uint64, _ flow.Cookie) []byte { return append(dst, p...) },
		Reset:       func(dst []byte, h flow.CookieHeader) ([]byte, netip.AddrPort) { return append(dst, 0), h.Source },
	}
}

// BenchmarkLogging opens 1000 flows a second through an instance that writes its log,
// writes none, or writes to a reader that has stopped. It reports the time from a
// caller to a backend server, and the processor time of the whole process for each flow.
func BenchmarkLogging(b *testing.B) {
	b.Run("off", func(b *testing.B) {
		silent := logs.Discard()
		silent.Logger.SetLevel(logrus.PanicLevel)
		openFlows(b, silent)
	})
	b.Run("on", func(b *testing.B) { openFlows(b, logTo(b, true)) })
	b.Run("readerStopped", func(b *testing.B) { openFlows(b, logTo(b, false)) })
}

// logTo returns a log that goes into a pipe, whose other end is read or not.
func logTo(b *testing.B, read bool) *logrus.Entry {
	r, w, err := os.Pipe()
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() {
		r.Close()
		w.Close()
	})
	if read {
		go io.Copy(io.Discard, r)
	}
	log, err := logs.New(logs.NewWriter(w), "")
	if err != nil {
		b.Fatal(err)
	}
	return log
}

func openFlows(b *testing.B, log *logrus.Entry) {
	g := NewWithT(b)
	feeder := newReplica()
	defer feeder.stop()
	feeder.hub.Configure(version(1, yard))
	backend, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	g.Expect(err).NotTo(HaveOccurred())
	defer backend.Close()
	to := backend.LocalAddr().(*net.UDPAddr).AddrPort()
	feeder.add(roster.Server{ID: 7, Incarnation: 1, Sequence: 1, Service: "yard", Address: to, Slots: 1})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	r, err := relay.Start(ctx, relay.Config{Name: "a", Packets: netip.MustParseAddrPort("127.0.0.1:0"),
		Link: netip.MustParseAddrPort("127.0.0.1:0"), Seeds: []netip.AddrPort{feeder.address()}, PacketFormat: numbered(), Log: log})
	g.Expect(err).NotTo(HaveOccurred())
	defer r.Close()
	g.Eventually(r.Ready, "5s").Should(BeTrue())

	var took []time.Duration
	packet, buf := make([]byte, 2), make([]byte, 16)
	before := processorTime()
	for i := 0; b.Loop(); i++ {
		binary.BigEndian.PutUint16(packet, uint16(i))
		start := time.Now()
		_, err := backend.WriteToUDPAddrPort(packet, r.Address())
		g.Expect(err).NotTo(HaveOccurred())
		_, err = backend.Read(buf)
		g.Expect(err).NotTo(HaveOccurred())
		took = append(took, time.Since(start))
		time.Sleep(flowInterval - time.Since(start))
	}
	slices.Sort(took)
	b.ReportMetric(float64(took[len(took)*99/100].Microseconds()), "p99-µs")
	b.ReportMetric(float64((processorTime()-before).Microseconds())/float64(len(took)), "cpu-µs/flow")
}

const flowInterval = time.Millisecond

// processorTime returns what this process has used.
func processorTime() time.Duration {
	var usage unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
