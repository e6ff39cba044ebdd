package wire

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"

	"github.com/fxamacker/cbor/v2"
)

// maxUnpackedBytes bounds the size of packed content. The object store's objects have a
// megabyte at most, and there are a few thousand small ones of a kind.
const maxUnpackedBytes = 64 << 20

// Pack encodes content that is sent to many hosts, and compresses it: configurations
// consist of routes that resemble each other.
func Pack(content any) ([]byte, error) {
	var packed bytes.Buffer
	// The level is valid, so NewWriter returns no error, and a bytes.Buffer takes
	// all that is written to it.
	w, _ := flate.NewWriter(&packed, flate.BestSpeed)
	if err := cbor.NewEncoder(w).Encode(content); err != nil {
		return nil, fmt.Errorf("pack a %T: %w", content, err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("pack a %T: %w", content, err)
	}
	return packed.Bytes(), nil
}

// Unpack decodes what Pack has encoded.
func Unpack(packed []byte, content any) error {
	r := flate.NewReader(bytes.NewReader(packed))
	defer r.Close()
	if err := cbor.NewDecoder(io.LimitReader(r, maxUnpackedBytes)).Decode(content); err != nil {
		return fmt.Errorf("unpack a %T of %d bytes: %w", content, len(packed), err)
	}
	return nil
}
