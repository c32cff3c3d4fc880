package memplatform

import (
	"context"
	"sort"

	"papayaspan.dev/papayaspan/internal/platform"
)

// SetMember adds or replaces an entry of the membership list.
func (p *Platform) SetMember(m platform.Member) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.members[m.ID] = m
}

// RemoveMember removes an entry of the membership list.
func (p *Platform) RemoveMember(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.members, id)
}

// Members implements platform.Membership. It isn't subject to the injected
// faults: the list stays readable while the table and the object store are down.
func (p *Platform) Members(context.Context) ([]platform.Member, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make([]platform.Member, 0, len(p.members))
	for _, m := range p.members {
		out = append(out, m)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out, nil
}

// AddWeights adds a weights version of a model to the weight store.
func (p *Platform) AddWeights(model, version string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.weights[model] = append(p.weights[model], version)
}

// Versions implements platform.Weights.
func (p *Platform) Versions(_ context.Context, model string) ([]string, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]string(nil), p.weights[model]...), nil
}
