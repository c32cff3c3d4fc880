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
	// maxMessage bounds a message once decompressed, in bytes.
	maxMessage = 1 << 20
	// compressFrom is the size, in bytes, from which a message is compressed: it
	// fits into one packet otherwise.
	compressFrom = 1 << 10
)

// writers and readers keep compressors and decompressors, which are large.
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

// encode returns the datagram of a message, compressed if it is large (RFC 1951).
func encode(m message) ([]byte, error) {
	data, err := json.Marshal(m)
	if err != nil {
		return nil, errors.Wrap(err, "gossip message")
	}
	if len(data) < compressFrom {
		return data, nil
	}
	w := writers.Get().(*flate.Writer)
	defer writers.Put(w)
	var b bytes.Buffer
	w.Reset(&b)
	if _, err := w.Write(data); err != nil {
		return nil, errors.Wrap(err, "compress message")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "compress message")
	}
	return b.Bytes(), nil
}

// decode reads a datagram, compressed or not.
func decode(data []byte) (*message, error) {
	if len(data) > 0 && data[0] != '{' {
		plain, err := decompress(data)
		if err != nil {
			return nil, err
		}
		data = plain
	}
	var m message
	return &m, errors.Wrap(json.Unmarshal(data, &m), "gossip message")
}

func decompress(data []byte) ([]byte, error) {
	r := readers.Get().(io.ReadCloser)
	defer readers.Put(r)
	if err := r.(flate.Resetter).Reset(bytes.NewReader(data), nil); err != nil {
		return nil, errors.Wrap(err, "decompress message")
	}
	plain, err := io.ReadAll(io.LimitReader(r, maxMessage))
	return plain, errors.Wrap(err, "decompress message")
}
