package scenario

import (
	"time"

	"github.com/pkg/errors"
	"github.com/rogpeppe/go-internal/testscript"

	"papayaspan.dev/papayaspan/internal/openai"
	"papayaspan.dev/papayaspan/internal/standin/local"
)

// cmdWeights waits until all engines have loaded a weights version: weights VERSION
// WITHIN. WITHIN is the maximum duration.
func cmdWeights(ts *testscript.TestScript, _ bool, args []string) {
	d := deploymentOf(ts)
	within, err := time.ParseDuration(args[1])
	ts.Check(err)
	ts.Check(until(within, func() error {
		for i, url := range d.engineURLs {
			var l openai.Load
			if err := d.read(url+"/load", &l); err != nil {
				return err
			}
			if got := l.Weights[local.Model]; got != args[0] {
				return errors.Errorf("engine %d holds %q, want %q", i+1, got, args[0])
			}
		}
		return nil
	}))
}
