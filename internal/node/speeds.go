package node

import (
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
)

// watchSpeeds logs when the engines' speeds begin and cease to count in the choice of an engine.
func (n *Node) watchSpeeds() {
	known, slowest, fastest := n.servers.Speeds()
	metrics.GetOrRegisterGauge("engines_of_known_speed", n.metrics).Update(int64(known))
	if uneven := known > 0; uneven != n.unevenEngines {
		n.unevenEngines = uneven
		n.log.Info("engine_speeds", zap.Bool("uneven", uneven), zap.Int("known", known),
			zap.Float64("slowest", slowest), zap.Float64("fastest", fastest))
	}
}
