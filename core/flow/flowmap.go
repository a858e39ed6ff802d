package flow

import "boragepost/core/place"

// flowMap is a hash map from flow keys to tracked flows with linear probing. Most
// lookups touch one cache line, where a Go map touches three, and an entry takes
// 16 bytes. The zero value is an empty map.
//
// The position of a key depends on a secret seed, so that callers cannot choose
// addresses whose flows collide.
type flowMap struct {
	slots []slot // the length is a power of two; an empty slot has server 0
	used  int
	seed  uint64
}

type slot struct {
	key  Key
	flow trackedFlow
}

const minSlots = 8

func (m *flowMap) homeSlot(k Key) int { return int(place.Mix(uint64(k), m.seed)) & (len(m.slots) - 1) }

// find returns the position of a key, or of the empty slot where it would be
// inserted. The map must have slots.
func (m *flowMap) find(k Key) (at int, found bool) {
	mask := len(m.slots) - 1
	for i := m.homeSlot(k); ; i = (i + 1) & mask {
		s := &m.slots[i]
		if s.flow.server == 0 {
			return i, false
		}
		if s.key == k {
			return i, true
		}
	}
}

func (m *flowMap) get(k Key) (trackedFlow, bool) {
	if m.used == 0 {
		return trackedFlow{}, false
	}
	i, found := m.find(k)
	return m.slots[i].flow, found
}

// set stores an entry, whose server must not be 0.
func (m *flowMap) set(k Key, r trackedFlow) {
	if 4*(m.used+1) > 3*len(m.slots) {
		m.grow()
	}
	i, found := m.find(k)
	if !found {
		m.used++
	}
	m.slots[i] = slot{key: k, flow: r}
}

func (m *flowMap) grow() {
	old := m.slots
	m.slots = make([]slot, max(2*len(old), minSlots))
	for _, s := range old {
		if s.flow.server != 0 {
			i, _ := m.find(s.key)
			m.slots[i] = s
		}
	}
}

func (m *flowMap) remove(k Key) {
	if m.used == 0 {
		return
	}
	if i, found := m.find(k); found {
		m.removeAt(i)
	}
}

// removeAt empties a slot and shifts later entries back, so that no empty slot
// separates a key from its home slot.
func (m *flowMap) removeAt(i int) {
	mask := len(m.slots) - 1
	m.used--
	for j := (i + 1) & mask; m.slots[j].flow.server != 0; j = (j + 1) & mask {
		if (j-m.homeSlot(m.slots[j].key))&mask >= (j-i)&mask {
			m.slots[i] = m.slots[j]
			i = j
		}
	}
	m.slots[i] = slot{}
}

// update replaces each entry by the result of f, or removes it if f returns
// false. It may call f more than once for an entry.
func (m *flowMap) update(f func(Key, trackedFlow) (trackedFlow, bool)) {
	for i := 0; i < len(m.slots); {
		s := m.slots[i]
		if s.flow.server == 0 {
			i++
			continue
		}
		next, keep := f(s.key, s.flow)
		if !keep {
			m.removeAt(i) // which may move another entry here
			continue
		}
		if next != s.flow {
			m.slots[i].flow = next
		}
		i++
	}
}
