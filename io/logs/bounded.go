package logs

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

// Writer passes lines on without ever blocking its callers. Lines wait in a
// bounded queue and go out together; lines that find the queue full are dropped
// and counted, and a line of their own says how many.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
	flushed chan struct{}
	once    sync.Once
}

const (
	// queuedLines hold a second of the most that Sampled lets through, with as
	// much again for unsampled lines.
	queuedLines = 1024
	// flushInterval gathers lines into one write; a killed process loses no more.
	flushInterval = 50 * time.Millisecond
	// flushBytes bounds one write.
	flushBytes = 64 << 10
	// closeTimeout bounds the wait for a reader that has stopped.
	closeTimeout = 200 * time.Millisecond
)

// NewWriter returns a writer to out. Close must be called at the end.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, queuedLines), done: make(chan struct{}), flushed: make(chan struct{})}
	go w.run()
	return w
}

// Write queues one line. It always succeeds.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were dropped so far and not yet
// reported.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Close writes what is queued, but does not wait for a reader that has stopped.
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
		case line := <-w.lines:
			batch = append(batch, line...)
		case <-w.done:
			w.flush(w.gather(batch))
			return
		}
		timer := time.NewTimer(flushInterval)
		select {
		case <-timer.C:
		case <-w.done:
			timer.Stop()
		}
		w.flush(w.gather(batch))
		batch = batch[:0]
	}
}

// gather appends the lines that are queued now.
func (w *Writer) gather(batch []byte) []byte {
	for len(batch) < flushBytes {
		select {
		case line := <-w.lines:
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
	// There is nowhere to report that the log cannot be written.
	_, _ = w.out.Write(batch)
}

// Sampler says which of many alike lines are written. The zero value writes none.
type Sampler struct {
	limiter *rate.Limiter
	skipped atomic.Int64
}

// NewSampler returns a sampler that lets perSecond lines through, and burst lines
// at once.
func NewSampler(perSecond, burst int) *Sampler {
	return &Sampler{limiter: rate.NewLimiter(rate.Limit(perSecond), burst)}
}

// Allow reports whether a line may be written now. Callers ask before they build
// the line, so that a line that is not written costs nothing.
func (s *Sampler) Allow() bool {
	if s.limiter != nil && s.limiter.Allow() {
		return true
	}
	s.skipped.Add(1)
	return false
}

// Skipped returns the number of lines that were not written since its last call.
func (s *Sampler) Skipped() int64 { return s.skipped.Swap(0) }
