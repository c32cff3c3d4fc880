package rest_test

import (
	"context"
	"net/http/httptest"
	"testing"

	"github.com/pkg/errors"

	"papayaspan.dev/papayaspan/internal/platform"
	"papayaspan.dev/papayaspan/internal/platform/rest"
	"papayaspan.dev/papayaspan/internal/standin/memplatform"
	"papayaspan.dev/papayaspan/internal/standin/platformserver"
)

var _ platform.Table = (*rest.Client)(nil)

func TestClientErrors(t *testing.T) {
	tests := []struct {
		desc   string
		faults memplatform.Faults
		want   error
	}{
		{"success", memplatform.Faults{}, nil},
		{"outage", memplatform.Faults{Down: true}, platform.ErrUnavailable},
		{"lost answer", memplatform.Faults{LoseAnswers: 1}, platform.ErrOutcomeUnknown},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			p := memplatform.New()
			srv := httptest.NewServer(platformserver.New(p))
			defer srv.Close()
			p.SetFaults(tt.faults)
			c := rest.NewClient(srv.URL)
			err := c.Commit(context.Background(), nil, []platform.Write{{Key: "a", Value: []byte("1")}})
			if !errors.Is(err, tt.want) {
				t.Errorf("Commit = %v, want %v", err, tt.want)
			}
		})
	}
}

func TestClientUnreachable(t *testing.T) {
	srv := httptest.NewServer(nil)
	srv.Close()
	err := rest.NewClient(srv.URL).Commit(context.Background(), nil, nil)
	if !errors.Is(err, platform.ErrUnavailable) {
		t.Errorf("Commit = %v, want ErrUnavailable", err)
	}
}
