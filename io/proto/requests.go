package proto

import "math/rand/v2"

// FirstID returns the number after which a process numbers its requests. It is random,
// so that a late response to an earlier process at the same address matches none of
// them, and is followed by enough numbers that are not 0.
func FirstID() uint64 { return rand.Uint64() >> 1 }
