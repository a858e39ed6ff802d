// Package links carries typed messages between the system's own processes:
// CBOR in WebSocket.
//
// A Conn is one connection. A Client keeps a connection to one address open and
// dials again when it breaks. Messages that cannot be sent are dropped: every
// protocol above repeats what matters.
//
// A connection may fall silent without an error. With a heartbeat each side
// sends an empty message when it has nothing else to send, and ends a connection
// on which nothing has arrived for three intervals. Both sides must use the same
// interval.
//
// # Usage
//
//	mux.Handle("/links/peer", links.Handler(func(c *links.Conn[Answer, Question]) {
//		for m := range c.Messages() { ... }
//	}))
//	client := links.NewClient[Question, Answer](ctx, "127.0.0.1:9001", "/links/peer", options)
//	client.Send(Question{...})
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
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
)

const (
	maxMessageBytes = 64 << 20
	sendQueue       = 1024
	writeTimeout    = 5 * time.Second
	// A machine without power lets a dial hang, and the opening packet is sent
	// again only after a second. The first dials end after firstDialTimeout, a
	// few round trips between regions, so that a machine that is back is found
	// soon; the timeout doubles up to dialTimeout for slow ones, and starts anew.
	firstDialTimeout = 200 * time.Millisecond
	dialTimeout      = time.Second
	redialDelay      = 100 * time.Millisecond
	// headerTimeout ends a connection on which no whole request arrives.
	headerTimeout = 5 * time.Second

	// silentHeartbeats is the number of heartbeats that may be missed, so that
	// one lost packet and its retransmission do not end a connection.
	silentHeartbeats = 3
)

// Meter counts the payload bytes of connections.
type Meter struct {
	Sent, Received atomic.Int64
	// Select, if set, returns the meter that counts a message in this one's place.
	Select func(message any) *Meter
}

// Total returns the bytes of both directions.
func (m *Meter) Total() int64 { return m.Sent.Load() + m.Received.Load() }

func (m *Meter) of(message any) *Meter {
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
	go c.write()
	go c.read()
	return c
}

// Encoded is a message that was encoded once to be sent on several connections.
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
// queue is full; a full queue closes the connection, because the other side has
// stopped reading.
func (c *Conn[S, R]) Send(m S) bool {
	e, err := Encode(m)
	return err == nil && c.SendEncoded(e)
}

// SendEncoded queues a message that was encoded before, like Send.
func (c *Conn[S, R]) SendEncoded(e Encoded[S]) bool {
	select {
	case <-c.ctx.Done():
		return false
	case c.out <- outgoing{data: e.data, meter: c.meter.of(e.message)}:
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

// Close ends the connection at once.
func (c *Conn[S, R]) Close() { c.cancel() }

func (c *Conn[S, R]) write() {
	defer c.ws.CloseNow()
	defer c.cancel()
	var beats <-chan time.Time
	if c.heartbeat > 0 {
		ticker := time.NewTicker(c.heartbeat)
		defer ticker.Stop()
		beats = ticker.C
	}
	busy := false // something was sent since the latest heartbeat
	for {
		select {
		case <-c.ctx.Done():
			return
		case <-beats:
			if !busy && c.writeOne(nil) != nil {
				return
			}
			busy = false
		case o := <-c.out:
			if c.writeOne(o.data) != nil {
				return
			}
			busy = true
			o.meter.Sent.Add(int64(len(o.data)))
		}
	}
}

// writeOne writes a message. On a slow connection a long message may take its time
// as long as it makes progress.
func (c *Conn[S, R]) writeOne(data []byte) error {
	ctx, progress, stop := c.watch(writeTimeout)
	defer stop()
	w, err := c.ws.Writer(ctx, websocket.MessageBinary)
	if err != nil {
		return err
	}
	for len(data) > 0 {
		n := min(len(data), chunkBytes)
		if _, err := w.Write(data[:n]); err != nil {
			return err
		}
		data = data[n:]
		progress()
	}
	return w.Close()
}

// Between two signs of progress so much is written or read: a connection of 1 Mbit/s
// passes it on in an eighth of a second.
const (
	chunkBytes = 16 << 10
	readBytes  = 4 << 10
)

// watch returns a context that ends when nothing has made progress for too long: the
// silence after which the other side counts as lost, or otherwise where there are no
// heartbeats. A limit of 0 never ends it.
func (c *Conn[S, R]) watch(otherwise time.Duration) (ctx context.Context, progress, stop func()) {
	limit := otherwise
	if c.heartbeat > 0 {
		limit = silentHeartbeats * c.heartbeat
	}
	if limit == 0 {
		return c.ctx, func() {}, func() {}
	}
	ctx, cancel := context.WithCancel(c.ctx)
	timer := time.AfterFunc(limit, cancel)
	return ctx, func() { timer.Reset(limit) }, func() {
		timer.Stop()
		cancel()
	}
}

// readOne reads a message, which may take its time like one that is written.
func (c *Conn[S, R]) readOne() ([]byte, error) {
	ctx, progress, stop := c.watch(0)
	defer stop()
	_, r, err := c.ws.Reader(ctx)
	if err != nil {
		return nil, err
	}
	var data []byte
	for {
		data = slices.Grow(data, readBytes)
		// The library fills what it is given before it returns.
		n, err := r.Read(data[len(data) : len(data)+readBytes])
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

func (c *Conn[S, R]) read() {
	defer close(c.in)
	defer c.cancel()
	for {
		data, err := c.readOne()
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
		c.meter.of(m).Received.Add(int64(len(data)))
		select {
		case c.in <- m:
		case <-c.ctx.Done():
			return
		}
	}
}

// Serve serves h at an address until the server is closed.
func Serve(addr netip.AddrPort, h http.Handler) (*http.Server, error) {
	l, err := net.Listen("tcp", addr.String())
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout}
	go s.Serve(l)
	return s, nil
}

// Handler accepts connections without heartbeats and runs serve for each of them.
func Handler[S, R any](ctx context.Context, meter *Meter, serve func(*Conn[S, R])) http.Handler {
	return HeartbeatHandler(ctx, meter, 0, serve)
}

// HeartbeatHandler accepts connections with heartbeats and runs serve for each of
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
