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

// flowNumberFormat is a packet format of two bytes, the number of the flow. Every
// packet is an opening packet.
func flowNumberFormat() relay.PacketFormat {
	return relay.PacketFormat{
		Parse: func(p []byte) (flow.CookieHeader, error) {
			from := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 9}), binary.BigEndian.Uint16(p))
			return flow.CookieHeader{Source: from, Dest: routeAddress, Start: true}, nil
		},
		Encapsulate: func(dst, p []byte, _ uint64, _ flow.Cookie) []byte { return append(dst, p...) },
		Reset:       func(dst []byte, h flow.CookieHeader) ([]byte, netip.AddrPort) { return append(dst, 0), h.Source },
	}
}

// BenchmarkLogging opens 1000 flows per second through an instance whose log is off,
// is read, or goes to a reader that has stopped. It reports the 99th percentile of the
// latency from a caller to a backend server, and the CPU time of the process per flow.
func BenchmarkLogging(b *testing.B) {
	b.Run("off", func(b *testing.B) {
		discard := logs.Discard()
		discard.Logger.SetLevel(logrus.PanicLevel)
		openFlows(b, discard)
	})
	b.Run("on", func(b *testing.B) { openFlows(b, logTo(b, true)) })
	b.Run("readerStopped", func(b *testing.B) { openFlows(b, logTo(b, false)) })
}

// logTo returns a logger that writes to a pipe. The pipe is drained if read is true.
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
	replica := newReplica()
	defer replica.stop()
	replica.hub.Configure(version(1, routeAddress))
	backend, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	g.Expect(err).NotTo(HaveOccurred())
	defer backend.Close()
	to := backend.LocalAddr().(*net.UDPAddr).AddrPort()
	replica.add(roster.Server{ID: 7, Incarnation: 1, Sequence: 1, Service: "yard", Address: to, Slots: 1})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	r, err := relay.Start(ctx, relay.Config{Name: "a", Packets: netip.MustParseAddrPort("127.0.0.1:0"),
		Link: netip.MustParseAddrPort("127.0.0.1:0"), Seeds: []netip.AddrPort{replica.address()}, PacketFormat: flowNumberFormat(), Log: log})
	g.Expect(err).NotTo(HaveOccurred())
	defer r.Close()
	g.Eventually(r.Ready, "5s").Should(BeTrue())

	var latencies []time.Duration
	packet, buf := make([]byte, 2), make([]byte, 16)
	before := cpuTime()
	for i := 0; b.Loop(); i++ {
		binary.BigEndian.PutUint16(packet, uint16(i))
		start := time.Now()
		_, err := backend.WriteToUDPAddrPort(packet, r.Address())
		g.Expect(err).NotTo(HaveOccurred())
		_, err = backend.Read(buf)
		g.Expect(err).NotTo(HaveOccurred())
		latencies = append(latencies, time.Since(start))
		time.Sleep(flowInterval - time.Since(start))
	}
	slices.Sort(latencies)
	b.ReportMetric(float64(latencies[len(latencies)*99/100].Microseconds()), "p99-µs")
	b.ReportMetric(float64((cpuTime()-before).Microseconds())/float64(len(latencies)), "cpu-µs/flow")
}

const flowInterval = time.Millisecond

// cpuTime returns the CPU time that this process has used.
func cpuTime() time.Duration {
	var usage unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
