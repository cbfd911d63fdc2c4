package fleetnode

import (
	"crypto/rand"
	"encoding/binary"
)

// newIncarnation draws the identity of a process. Neither a clock, which may be set back, nor
// the store, which may be away, nor a disk, which a machine need not have, tells two starts
// apart for certain.
func newIncarnation() uint64 {
	var raw [8]byte
	_, _ = rand.Read(raw[:]) // never fails
	return max(1, binary.LittleEndian.Uint64(raw[:]))
}
