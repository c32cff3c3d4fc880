package local

import (
	"context"
	"fmt"

	"go.uber.org/zap"

	"papayaspan.dev/papayaspan/internal/account"
	"papayaspan.dev/papayaspan/internal/daemon"
	"papayaspan.dev/papayaspan/internal/platform"
	"papayaspan.dev/papayaspan/internal/platform/rest"
	"papayaspan.dev/papayaspan/internal/settings"
)

// Settings returns the settings of VM i, counted from 1. All its servers listen
// on free loopback ports.
func (s *Standins) Settings(i int) *settings.Settings {
	const freePort = "127.0.0.1:0"
	out := settings.Default()
	out.VM = settings.VM{ID: fmt.Sprintf("vm-%d", i), FailureDomain: fmt.Sprintf("qc-centre-%c", 'a'+(i-1)%3)}
	out.Listen = settings.Listen{Caller: freePort, Peer: freePort, Admin: freePort}
	out.Routing.PieceTokens = EngineOptions().BlockTokens
	out.Platform.URL = s.PlatformURL
	out.Operators = []settings.Operator{{Name: OperatorName, KeyHash: account.HashSecret(OperatorKey)}}
	return &out
}

// StartRouter starts a router in this process and adds it to the membership
// list.
func (s *Standins) StartRouter(cfg *settings.Settings, log *zap.Logger) (*daemon.Daemon, error) {
	client := rest.NewClient(s.PlatformURL)
	d, err := daemon.New(cfg, log, daemon.Platform{Table: client, Objects: client.Objects(), Membership: client, Weights: client})
	if err != nil {
		return nil, err
	}
	self := d.Self()
	s.Platform.SetMember(platform.Member{
		ID:            string(self.ID),
		FailureDomain: self.FailureDomain,
		CallerAddress: self.CallerAddress,
		PeerAddress:   self.PeerAddress,
	})
	d.Start(context.Background())
	return d, nil
}
