package logs

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

// Writer is a log writer that never blocks its callers. Lines are queued and
// written in batches. Lines that do not fit into the bounded queue are dropped,
// and the number of dropped lines is logged.
type Writer struct {
	out     io.Writer
	queue   chan []byte
	dropped atomic.Int64
	done    chan struct{}
	flushed chan struct{}
	once    sync.Once
}

const (
	// queueCapacity is enough for a second of sampled lines at their maximum
	// rate and as many unsampled lines.
	queueCapacity = 1024
	// flushInterval is how long lines are batched. A killed process loses at most
	// the lines of this interval.
	flushInterval = 50 * time.Millisecond
	// flushBytes bounds a batch.
	flushBytes = 64 << 10
	// closeTimeout bounds how long Close waits for a stalled reader.
	closeTimeout = 200 * time.Millisecond
)

// NewWriter returns a writer to out. The caller must close it.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, queue: make(chan []byte, queueCapacity), done: make(chan struct{}), flushed: make(chan struct{})}
	go w.run()
	return w
}

// Write queues one line. It always succeeds.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.queue <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of dropped lines that have not been logged yet.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Close writes the queued lines. If the reader is stalled, it gives up after
// closeTimeout.
func (w *Writer) Close() {
	w.once.Do(func() { close(w.done) })
	select {
	case <-w.flushed:
	case <-time.After(closeTimeout):
	}
}

func (w *Writer) run() {
	defer close(w.flushed)
	var batch []byte
	for {
		select {
		case line := <-w.queue:
			batch = append(batch, line...)
		case <-w.done:
			w.flush(w.drainQueue(batch))
			return
		}
		timer := time.NewTimer(flushInterval)
		select {
		case <-timer.C:
		case <-w.done:
			timer.Stop()
		}
		w.flush(w.drainQueue(batch))
		batch = batch[:0]
	}
}

// drainQueue appends the currently queued lines to batch, up to flushBytes.
func (w *Writer) drainQueue(batch []byte) []byte {
	for len(batch) < flushBytes {
		select {
		case line := <-w.queue:
			batch = append(batch, line...)
		default:
			return batch
		}
	}
	return batch
}

func (w *Writer) flush(batch []byte) {
	if n := w.dropped.Swap(0); n > 0 {
		batch = fmt.Appendf(batch, "time=%q level=warning event=linesDropped count=%d\n",
			time.Now().UTC().Format(timestampFormat), n)
	}
	// A failure to write the log cannot be reported anywhere.
	_, _ = w.out.Write(batch)
}

// Sampler limits the rate of similar log lines. The zero value allows none.
type Sampler struct {
	limiter *rate.Limiter
	skipped atomic.Int64
}

// NewSampler returns a sampler that allows perSecond lines per second and
// bursts of up to burst lines.
func NewSampler(perSecond, burst int) *Sampler {
	return &Sampler{limiter: rate.NewLimiter(rate.Limit(perSecond), burst)}
}

// Allow reports whether a line may be written now. Callers check it before they
// format the line, so that skipped lines cost nothing.
func (s *Sampler) Allow() bool {
	if s.limiter != nil && s.limiter.Allow() {
		return true
	}
	s.skipped.Add(1)
	return false
}

// Skipped returns the number of lines that were not allowed since the last call.
func (s *Sampler) Skipped() int64 { return s.skipped.Swap(0) }
