package gossip

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"io"
	"sync"

	"github.com/pkg/errors"
)

const (
	// maxMessageBytes bounds a decompressed message.
	maxMessageBytes = 1 << 20
	// compressMinBytes is the size from which a message is compressed. A smaller one
	// fits into one packet uncompressed.
	compressMinBytes = 1 << 10
)

// writers and readers pool compressors and decompressors, whose buffers are large.
var (
	writers = sync.Pool{New: func() any {
		w, err := flate.NewWriter(nil, flate.BestSpeed)
		if err != nil {
			panic(err) // The level is valid.
		}
		return w
	}}
	readers = sync.Pool{New: func() any { return flate.NewReader(nil) }}
)

// encode returns the datagram of a message: JSON, compressed with DEFLATE (RFC 1951)
// from compressMinBytes on.
func encode(m message) ([]byte, error) {
	data, err := json.Marshal(m)
	if err != nil {
		return nil, errors.Wrap(err, "encode gossip message")
	}
	if len(data) < compressMinBytes {
		return data, nil
	}
	w := writers.Get().(*flate.Writer)
	defer writers.Put(w)
	var b bytes.Buffer
	w.Reset(&b)
	if _, err := w.Write(data); err != nil {
		return nil, errors.Wrap(err, "compress gossip message")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "compress gossip message")
	}
	return b.Bytes(), nil
}

// decode parses a datagram, compressed or not. JSON starts with '{'; the first byte
// of compressed data differs from it.
func decode(data []byte) (*message, error) {
	if len(data) > 0 && data[0] != '{' {
		plain, err := decompress(data)
		if err != nil {
			return nil, err
		}
		data = plain
	}
	var m message
	return &m, errors.Wrap(json.Unmarshal(data, &m), "decode gossip message")
}

func decompress(data []byte) ([]byte, error) {
	r := readers.Get().(io.ReadCloser)
	defer readers.Put(r)
	if err := r.(flate.Resetter).Reset(bytes.NewReader(data), nil); err != nil {
		return nil, errors.Wrap(err, "decompress gossip message")
	}
	plain, err := io.ReadAll(io.LimitReader(r, maxMessageBytes))
	return plain, errors.Wrap(err, "decompress gossip message")
}
