package memplatform

import (
	"context"

	"github.com/pkg/errors"

	"papayaspan.dev/papayaspan/internal/platform"
)

// Objects is the object store of a Platform.
type Objects struct{ p *Platform }

// Objects returns the platform's object store.
func (p *Platform) Objects() Objects { return Objects{p} }

// Put implements platform.Objects.
func (o Objects) Put(ctx context.Context, name string, data []byte) error {
	if err := o.p.beginCall(ctx); err != nil {
		return err
	}
	o.p.mu.Lock()
	defer o.p.mu.Unlock()
	o.p.counts.Writes++
	o.p.objects[name] = append([]byte(nil), data...)
	return o.p.writeResult()
}

// Get implements platform.Objects.
func (o Objects) Get(ctx context.Context, name string) ([]byte, error) {
	if err := o.p.beginCall(ctx); err != nil {
		return nil, err
	}
	o.p.mu.Lock()
	defer o.p.mu.Unlock()
	o.p.counts.Reads++
	data, ok := o.p.objects[name]
	if !ok {
		return nil, errors.Wrap(platform.ErrNotFound, name)
	}
	return data, nil
}
