package sched

import (
	"container/heap"

	"boragepost/core/flow"
)

// maxFree bounds the packets that are kept for reuse: with 1.3 kB each, 1.3 MB.
const maxFree = 1024

// queue holds the queued packets by flow. The zero value is empty.
type queue struct {
	flows   map[flow.Key]*flowQueue
	queued  map[packetKey]struct{}
	classes [Classes]flowHeap
	credits [Classes]float64 // bytes of its minimal share that a class has not used
	// youngest orders the flows with droppable upload data, the youngest request first.
	youngest youngestHeap

	packets    int
	bytes      int
	classBytes [Classes]int
	newest     [Classes]*Packet // of each class, which older and newer connect
	free       []*Packet
	freeFlows  []*flowQueue
}

// packetKey identifies a packet whose retransmission is redundant while it is queued.
// Packets without data that differ in their acknowledgement differ.
type packetKey struct {
	flow          flow.Key
	seq, ack      uint32
	length        int
	start, finish bool
}

func keyOf(h flow.CookieHeader) packetKey {
	k := packetKey{flow: h.Key(), seq: h.Seq, length: h.Length, start: h.Start, finish: h.Finish}
	if !h.Data {
		k.ack = h.Ack
	}
	return k
}

// flowQueue holds the queued packets of one flow in the order of their arrival.
type flowQueue struct {
	key           flow.Key
	head, tail    *Packet
	class         Class // of the head
	position      int   // in the heap of the class
	droppable     int   // number of packets that may be dropped when the queue is full
	youngPosition int   // in queue.youngest; -1 if absent
}

// flowHeap orders flows by their first packet: uploads by the start of the request,
// others by arrival.
type flowHeap []*flowQueue

func (h flowHeap) Len() int { return len(h) }
func (h flowHeap) Less(i, j int) bool {
	a, b := h[i].head, h[j].head
	if a.start != b.start {
		return a.start < b.start
	}
	return a.number < b.number
}
func (h flowHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].position, h[j].position = i, j
}
func (h *flowHeap) Push(x any) {
	f := x.(*flowQueue)
	f.position = len(*h)
	*h = append(*h, f)
}
func (h *flowHeap) Pop() any {
	last := len(*h) - 1
	f := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return f
}

// youngestHeap orders flows by the start of the request of their newest packet, the
// latest first.
type youngestHeap []*flowQueue

func (h youngestHeap) Len() int { return len(h) }
func (h youngestHeap) Less(i, j int) bool {
	a, b := h[i].newestDroppable(), h[j].newestDroppable()
	if a.start != b.start {
		return a.start > b.start
	}
	return a.number > b.number
}
func (h youngestHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].youngPosition, h[j].youngPosition = i, j
}
func (h *youngestHeap) Push(x any) {
	f := x.(*flowQueue)
	f.youngPosition = len(*h)
	*h = append(*h, f)
}
func (h *youngestHeap) Pop() any {
	last := len(*h) - 1
	f := (*h)[last]
	f.youngPosition = -1
	(*h)[last] = nil
	*h = (*h)[:last]
	return f
}

// droppable reports whether a packet may be dropped to make room. The end of a flow is
// not, since it frees a slot of the backend server.
func (p *Packet) droppable() bool { return p.Class == Uploads && !p.Header.Finish }

// newestDroppable returns the newest packet of the flow that may be dropped. The flow
// must have one.
func (f *flowQueue) newestDroppable() *Packet {
	p := f.tail
	for !p.droppable() {
		p = p.prev
	}
	return p
}

// contains reports whether the same packet is queued.
func (q *queue) contains(h flow.CookieHeader) bool {
	if q.packets == 0 {
		return false
	}
	_, ok := q.queued[keyOf(h)]
	return ok
}

// push appends a packet to its flow.
func (q *queue) push(p *Packet) {
	if q.flows == nil {
		q.flows = map[flow.Key]*flowQueue{}
		q.queued = map[packetKey]struct{}{}
	}
	key := keyOf(p.Header)
	q.queued[key] = struct{}{}
	q.packets++
	q.bytes += p.size
	q.classBytes[p.Class] += p.size
	if p.older = q.newest[p.Class]; p.older != nil {
		p.older.newer = p
	}
	q.newest[p.Class] = p
	f := q.flows[key.flow]
	if f == nil {
		f = q.takeFlow()
		*f = flowQueue{key: key.flow, head: p, tail: p, class: p.Class, youngPosition: -1}
		q.flows[key.flow] = f
		heap.Push(&q.classes[f.class], f)
	} else {
		p.prev, f.tail.next, f.tail = f.tail, p, p
	}
	if p.droppable() {
		f.droppable++
	}
	q.fixYoungest(f)
}

// remove takes a packet out of the queue.
func (q *queue) remove(p *Packet) {
	key := keyOf(p.Header)
	delete(q.queued, key)
	q.packets--
	q.bytes -= p.size
	q.classBytes[p.Class] -= p.size
	f := q.flows[key.flow]
	if p.droppable() {
		f.droppable--
		if f.droppable == 0 && f.youngPosition >= 0 {
			heap.Remove(&q.youngest, f.youngPosition)
		}
	}
	first := f.head == p
	if p.prev != nil {
		p.prev.next = p.next
	} else {
		f.head = p.next
	}
	if p.next != nil {
		p.next.prev = p.prev
	} else {
		f.tail = p.prev
	}
	if p.newer != nil {
		p.newer.older = p.older
	} else {
		q.newest[p.Class] = p.older
	}
	if p.older != nil {
		p.older.newer = p.newer
	}
	p.prev, p.next, p.older, p.newer = nil, nil, nil, nil
	if first {
		q.moveFlow(f)
	}
	q.fixYoungest(f)
}

// moveFlow restores the place of a flow whose first packet was removed.
func (q *queue) moveFlow(f *flowQueue) {
	if f.head != nil && f.head.Class == f.class {
		heap.Fix(&q.classes[f.class], f.position)
		return
	}
	// The removal compares flows by their heads; it does not compare the last element,
	// which f is after a swap.
	heap.Remove(&q.classes[f.class], f.position)
	if len(q.classes[f.class]) == 0 {
		q.credits[f.class] = 0
	}
	if f.head == nil {
		delete(q.flows, f.key)
		q.freeFlows = append(q.freeFlows, f)
		return
	}
	f.class = f.head.Class
	heap.Push(&q.classes[f.class], f)
}

func (q *queue) fixYoungest(f *flowQueue) {
	switch {
	case f.droppable == 0:
	case f.youngPosition < 0:
		heap.Push(&q.youngest, f)
	default:
		heap.Fix(&q.youngest, f.youngPosition)
	}
}

// victim returns the packet to drop when the queue is full: the newest of the youngest
// upload. When uploads hold no more than their minimal share of the limit, other traffic
// has filled the queue, and its largest class loses its newest packet.
func (q *queue) victim(limit int) *Packet {
	if len(q.youngest) > 0 && float64(q.classBytes[Uploads]) > minShare*float64(limit) {
		return q.youngest[0].newestDroppable()
	}
	largest := 0
	for c := range q.classBytes {
		if q.classBytes[c] > q.classBytes[largest] {
			largest = c
		}
	}
	return q.newest[largest]
}

// first returns the packet that leaves next, or nil: that of the class that most
// exceeds its minimal share, or else of the lowest class.
func (q *queue) first() *Packet {
	var first *Packet
	due := 0.0
	for c := range q.classes {
		if len(q.classes[c]) == 0 {
			continue
		}
		p := q.classes[c][0].head
		if first == nil {
			first = p
		}
		if excess := q.credits[c] - float64(p.size); excess >= due && q.credits[c] > 0 {
			first, due = p, excess
		}
	}
	return first
}

// credit adds the minimal share of sent bytes to each class with packets waiting.
func (q *queue) credit(size int) {
	if q.packets == 0 {
		return
	}
	for c := range q.classes {
		if len(q.classes[c]) > 0 {
			q.credits[c] += minShare * float64(size)
		}
	}
}

// charge takes the size of a packet that leaves from the share of its class.
func (q *queue) charge(c Class, size int) {
	q.credits[c] = max(q.credits[c]-float64(size), 0)
}

// take returns an unused packet. Its Data has the capacity of the earlier packet.
func (q *queue) take() *Packet {
	last := len(q.free) - 1
	if last < 0 {
		return &Packet{}
	}
	p := q.free[last]
	q.free = q.free[:last]
	return p
}

func (q *queue) release(p *Packet) {
	if len(q.free) < maxFree {
		q.free = append(q.free, p)
	}
}

func (q *queue) takeFlow() *flowQueue {
	last := len(q.freeFlows) - 1
	if last < 0 {
		return &flowQueue{}
	}
	f := q.freeFlows[last]
	q.freeFlows = q.freeFlows[:last]
	return f
}
