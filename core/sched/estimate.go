package sched

import "time"

// UploadTime returns how long an upload with this many bytes of data takes on an otherwise
// idle link of a capacity in bits per second.
func UploadTime(linkBitsPerSecond float64, data int) time.Duration {
	size := float64(data) * fullPacketBytes / fullPacketData
	return time.Duration(size / (linkBitsPerSecond / 8 * usableShare) * float64(time.Second))
}
