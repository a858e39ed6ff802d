package logs_test

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"boragepost/io/logs"
)

// TestWriterDoesNotBlockOnStalledReader checks that writers do not block if
// nothing reads the log, and that the number of dropped lines is logged.
func TestWriterDoesNotBlockOnStalledReader(t *testing.T) {
	g := NewWithT(t)
	r, out := io.Pipe()
	w := logs.NewWriter(out)
	const lines = 5000
	start := time.Now()
	for range lines {
		w.Write([]byte("level=info event=x\n"))
	}
	g.Expect(time.Since(start)).To(BeNumerically("<", time.Second))
	g.Expect(w.Dropped()).To(BeNumerically(">", lines/2))

	done := make(chan string)
	go func() {
		text, _ := io.ReadAll(r)
		done <- string(text)
	}()
	w.Close()
	out.Close()
	text := <-done
	written := strings.Count(text, "event=x\n")
	g.Expect(written).To(BeNumerically(">", 0))
	g.Expect(text).To(MatchRegexp(`level=warning event=linesDropped count=\d+`))
}

func TestCloseFlushesQueue(t *testing.T) {
	g := NewWithT(t)
	var out bytes.Buffer
	w := logs.NewWriter(&out)
	log, err := logs.New(w, "info")
	g.Expect(err).NotTo(HaveOccurred())
	log.WithField("n", 1).Info("first")
	log.Info("second")
	w.Close()
	g.Expect(out.String()).To(MatchRegexp(`event=first n=1\n.*event=second\n$`))
}

func TestSamplerLimitsRate(t *testing.T) {
	g := NewWithT(t)
	s := logs.NewSampler(1, 10)
	allowed := 0
	for range 1000 {
		if s.Allow() {
			allowed++
		}
	}
	g.Expect(allowed).To(BeNumerically("~", 10, 1))
	g.Expect(s.Skipped()).To(Equal(int64(1000 - allowed)))
	g.Expect(s.Skipped()).To(BeZero())
	g.Expect((&logs.Sampler{}).Allow()).To(BeFalse())
}
