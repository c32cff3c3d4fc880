package node

import (
	"context"
	"time"

	"go.uber.org/zap"

	"papayaspan.dev/papayaspan/internal/clock"
	"papayaspan.dev/papayaspan/internal/linkmeter"
)

const (
	// defaultLinkBitRate is the bandwidth of a VM's link if it isn't known.
	defaultLinkBitRate = 10e6
	// gossipLinkShare is the share of its link that a VM uses for messages to other VMs.
	gossipLinkShare = 0.25
	// linkLogInterval is the time between two lines about a busy link, busyLinkShare the share of its
	// bandwidth in one direction from which a link counts as busy.
	linkLogInterval = time.Second
	busyLinkShare   = 0.5
)

// linkBitRate returns the bandwidth of the VM's link in bits per second.
func (n *Node) linkBitRate() float64 {
	if rate := n.opts.LinkBitRate; rate > 0 {
		return rate
	}
	return defaultLinkBitRate
}

// watchLink logs what the VM's link carries while it is busy.
func (n *Node) watchLink(ctx context.Context) {
	last := n.traffic.Read(n.now())
	for clock.Sleep(ctx, linkLogInterval) {
		next := n.traffic.Read(n.now())
		sent, received := next.Rates(last)
		if max(sent, received) >= busyLinkShare*n.linkBitRate() {
			n.log.Info("link_busy", append(trafficFields(last, next), zap.Float64("link_bit_rate", n.linkBitRate()),
				zap.Float64("sent_bit_rate", sent), zap.Float64("received_bit_rate", received),
				zap.Duration("period", next.At.Sub(last.At)))...)
		}
		last = next
	}
}

// trafficFields returns the bytes between two readings by kind.
func trafficFields(last, next linkmeter.Traffic) []zap.Field {
	var fields []zap.Field
	for k := range next.Sent {
		name := linkmeter.Kind(k).String()
		fields = append(fields, zap.Int64("sent_"+name, next.Sent[k]-last.Sent[k]), zap.Int64("received_"+name, next.Received[k]-last.Received[k]))
	}
	return fields
}
