package proto

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"

	"github.com/fxamacker/cbor/v2"
)

// maxExpandedBytes bounds the size of a compressed update after decompression.
const maxExpandedBytes = 64 << 20

// Compress returns an update that carries u in compressed form. The complete state of a
// deployment repeats names and addresses, and takes a quarter of its size.
func (u Update) Compress() (Update, error) {
	data, err := cbor.Marshal(u)
	if err != nil {
		return Update{}, fmt.Errorf("encode update: %w", err)
	}
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return Update{}, fmt.Errorf("compress update: %w", err)
	}
	if _, err := w.Write(data); err != nil {
		return Update{}, fmt.Errorf("compress update: %w", err)
	}
	if err := w.Close(); err != nil {
		return Update{}, fmt.Errorf("compress update: %w", err)
	}
	return Update{Compressed: out.Bytes()}, nil
}

// Expand returns the update that u carries in compressed form, or u itself if it is not
// compressed.
func (u Update) Expand() (Update, error) {
	if len(u.Compressed) == 0 {
		return u, nil
	}
	r := flate.NewReader(bytes.NewReader(u.Compressed))
	defer r.Close()
	data, err := io.ReadAll(io.LimitReader(r, maxExpandedBytes))
	if err != nil {
		return Update{}, fmt.Errorf("decompress update: %w", err)
	}
	var out Update
	if err := cbor.Unmarshal(data, &out); err != nil {
		return Update{}, fmt.Errorf("decode update: %w", err)
	}
	return out, nil
}
