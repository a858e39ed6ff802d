// Package links carries typed messages between the processes of a deployment, as
// CBOR over WebSocket.
//
// A Conn is one connection. A Client keeps a connection open and redials when it
// breaks. Messages that cannot be sent are dropped: the protocols above retransmit
// what must arrive.
//
// A connection may stop delivering data without an error. With heartbeats each side
// sends an empty message when it has nothing else to send, and closes a connection
// on which nothing has arrived for three intervals. Both sides must use the same
// interval.
//
// # Usage
//
//	mux.Handle("/links/peer", links.Handler(ctx, &meter, func(c *links.Conn[Response, Request]) {
//		for m := range c.Messages() { ... }
//	}))
//	client := links.NewClient[Request, Response](ctx, "127.0.0.1:9001", "/links/peer", options)
//	client.Send(Request{...})
package links

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
)

const (
	maxMessageBytes = 64 << 20
	sendQueue       = 1024
	writeTimeout    = 5 * time.Second
	// A dial to a machine that is down hangs, and its SYN is retransmitted only
	// after a second. The first dial times out after firstDialTimeout, a few round
	// trips between regions, so that a machine that comes back is reached soon. The
	// timeout doubles up to dialTimeout for slow machines, then starts over.
	firstDialTimeout = 200 * time.Millisecond
	dialTimeout      = time.Second
	redialDelay      = 100 * time.Millisecond
	// headerTimeout closes a connection on which no complete request header arrives.
	headerTimeout = 5 * time.Second

	// maxSilentHeartbeats is the number of heartbeat intervals without data after which
	// a connection is closed. One lost packet and its retransmission must not close
	// it.
	maxSilentHeartbeats = 3
)

// Meter counts the payload bytes of connections.
type Meter struct {
	Sent, Received atomic.Int64
	// Select, if set, returns the meter that counts a message instead of this one.
	Select func(message any) *Meter
}

// Total returns the sum of the bytes in both directions.
func (m *Meter) Total() int64 { return m.Sent.Load() + m.Received.Load() }

func (m *Meter) meterFor(message any) *Meter {
	if m.Select == nil {
		return m
	}
	return m.Select(message)
}

// Conn is one connection that sends messages of type S and receives messages of
// type R.
type Conn[S, R any] struct {
	ws     *websocket.Conn
	out    chan outgoing
	in     chan R
	ctx    context.Context
	cancel context.CancelFunc
	meter  *Meter
	// heartbeat is the interval of empty messages; 0 sends none.
	heartbeat time.Duration
}

// outgoing is an encoded message with the meter that counts it.
type outgoing struct {
	data  []byte
	meter *Meter
}

func newConn[S, R any](ctx context.Context, ws *websocket.Conn, meter *Meter, heartbeat time.Duration) *Conn[S, R] {
	ws.SetReadLimit(maxMessageBytes)
	if meter == nil {
		meter = &Meter{}
	}
	c := &Conn[S, R]{
		ws: ws, out: make(chan outgoing, sendQueue), in: make(chan R), meter: meter, heartbeat: heartbeat}
	c.ctx, c.cancel = context.WithCancel(ctx)
	go c.writeLoop()
	go c.readLoop()
	return c
}

// Encoded is an encoded message that can be sent on several connections.
type Encoded[S any] struct {
	message S
	data    []byte
}

// Encode encodes a message.
func Encode[S any](m S) (Encoded[S], error) {
	data, err := cbor.Marshal(m)
	if err != nil {
		return Encoded[S]{}, fmt.Errorf("encode message: %w", err)
	}
	return Encoded[S]{message: m, data: data}, nil
}

// Send queues a message. It reports false when the connection is closed or its
// queue is full. A full queue closes the connection, because the other side has
// stopped reading.
func (c *Conn[S, R]) Send(m S) bool {
	e, err := Encode(m)
	return err == nil && c.SendEncoded(e)
}

// SendEncoded is like Send for a message that is already encoded.
func (c *Conn[S, R]) SendEncoded(e Encoded[S]) bool {
	select {
	case <-c.ctx.Done():
		return false
	case c.out <- outgoing{data: e.data, meter: c.meter.meterFor(e.message)}:
		return true
	default:
		c.Close()
		return false
	}
}

// Messages returns the received messages. The channel is closed when the
// connection ends.
func (c *Conn[S, R]) Messages() <-chan R { return c.in }

// Done is closed when the connection ends.
func (c *Conn[S, R]) Done() <-chan struct{} { return c.ctx.Done() }

// Close closes the connection. Queued messages may be lost.
func (c *Conn[S, R]) Close() { c.cancel() }

func (c *Conn[S, R]) writeLoop() {
	defer c.ws.CloseNow()
	defer c.cancel()
	var heartbeats <-chan time.Time
	if c.heartbeat > 0 {
		ticker := time.NewTicker(c.heartbeat)
		defer ticker.Stop()
		heartbeats = ticker.C
	}
	active := false // something was sent since the latest heartbeat
	for {
		select {
		case <-c.ctx.Done():
			return
		case <-heartbeats:
			if !active && c.writeMessage(nil) != nil {
				return
			}
			active = false
		case o := <-c.out:
			if c.writeMessage(o.data) != nil {
				return
			}
			active = true
			o.meter.Sent.Add(int64(len(o.data)))
		}
	}
}

// writeMessage writes a message. It times out only when no chunk is written for too
// long, so a long message may take any time on a slow connection.
func (c *Conn[S, R]) writeMessage(data []byte) error {
	ctx, progress, stop := c.withProgressTimeout(writeTimeout)
	defer stop()
	w, err := c.ws.Writer(ctx, websocket.MessageBinary)
	if err != nil {
		return err
	}
	for len(data) > 0 {
		n := min(len(data), writeChunkBytes)
		if _, err := w.Write(data[:n]); err != nil {
			return err
		}
		data = data[n:]
		progress()
	}
	return w.Close()
}

// Amounts of data after which the progress timeout starts over. A connection of
// 1 Mbit/s transfers the larger one in an eighth of a second.
const (
	writeChunkBytes = 16 << 10
	readChunkBytes  = 4 << 10
)

// withProgressTimeout returns a context that is cancelled when progress is not called
// for maxSilentHeartbeats intervals or, on a connection without heartbeats, for
// fallback. A fallback of 0 means no timeout. A pause of this process counts as one
// interval at most, because what has arrived meanwhile is read only after it.
func (c *Conn[S, R]) withProgressTimeout(fallback time.Duration) (ctx context.Context, progress, stop func()) {
	interval := fallback / maxSilentHeartbeats
	if c.heartbeat > 0 {
		interval = c.heartbeat
	}
	if interval == 0 {
		return c.ctx, func() {}, func() {}
	}
	ctx, cancel := context.WithCancel(c.ctx)
	var mu sync.Mutex
	var timer *time.Timer
	silent := 0 // intervals without progress
	mu.Lock()
	defer mu.Unlock()
	timer = time.AfterFunc(interval, func() {
		mu.Lock()
		defer mu.Unlock()
		silent++
		if silent >= maxSilentHeartbeats {
			cancel()
			return
		}
		if ctx.Err() == nil {
			timer.Reset(interval)
		}
	})
	progress = func() {
		mu.Lock()
		defer mu.Unlock()
		silent = 0
		timer.Reset(interval)
	}
	return ctx, progress, func() {
		cancel()
		timer.Stop()
	}
}

// readMessage reads a message. Like writeMessage it times out only when there is no
// progress.
func (c *Conn[S, R]) readMessage() ([]byte, error) {
	ctx, progress, stop := c.withProgressTimeout(0)
	defer stop()
	_, r, err := c.ws.Reader(ctx)
	if err != nil {
		return nil, err
	}
	var data []byte
	for {
		data = slices.Grow(data, readChunkBytes)
		// The library fills the buffer before it returns, unless the message ends.
		n, err := r.Read(data[len(data) : len(data)+readChunkBytes])
		data = data[:len(data)+n]
		if errors.Is(err, io.EOF) {
			return data, nil
		}
		if err != nil {
			return nil, err
		}
		progress()
	}
}

func (c *Conn[S, R]) readLoop() {
	defer close(c.in)
	defer c.cancel()
	for {
		data, err := c.readMessage()
		if err != nil {
			return
		}
		if len(data) == 0 {
			continue // a heartbeat
		}
		var m R
		if cbor.Unmarshal(data, &m) != nil {
			return
		}
		c.meter.meterFor(m).Received.Add(int64(len(data)))
		select {
		case c.in <- m:
		case <-c.ctx.Done():
			return
		}
	}
}

// Serve serves h at an address until the server is closed.
func Serve(addr netip.AddrPort, h http.Handler) (*http.Server, error) {
	return ServeConns(addr, h, nil)
}

// ServeConns is like Serve. newContext, unless nil, returns the context of the requests
// on a connection that was just accepted.
func ServeConns(addr netip.AddrPort, h http.Handler,
	newContext func(ctx context.Context, c net.Conn) context.Context) (*http.Server, error) {
	l, err := net.Listen("tcp", addr.String())
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, ConnContext: newContext}
	go s.Serve(l)
	return s, nil
}

// Handler accepts connections without heartbeats and calls serve for each of them.
func Handler[S, R any](ctx context.Context, meter *Meter, serve func(*Conn[S, R])) http.Handler {
	return HeartbeatHandler(ctx, meter, 0, serve)
}

// HeartbeatHandler accepts connections with heartbeats and calls serve for each of
// them.
func HeartbeatHandler[S, R any](ctx context.Context, meter *Meter, heartbeat time.Duration,
	serve func(*Conn[S, R])) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ws, err := websocket.Accept(w, r, nil)
		if err != nil {
			return
		}
		c := newConn[S, R](ctx, ws, meter, heartbeat)
		defer c.Close()
		serve(c)
	})
}
