package scenario

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

// binDir is the directory of the programs under test, which are built once.
var binDir string

func TestMain(m *testing.M) {
	os.Exit(run(m))
}

func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "papayaspan-scenario")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	binDir = dir
	build := exec.Command("go", "build", "-o", dir+string(filepath.Separator),
		"../cmd/papayaspand", "../cmd/papayaspan", "../cmd/papayaspan-standins")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

func TestScenarios(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(env *testscript.Env) error {
			d := newDeployment(env.WorkDir)
			env.Values[deploymentKey{}] = d
			env.Defer(d.close)
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"standins":   cmdStandins,
			"vm":         cmdVM,
			"cut":        cmdCut,
			"heal":       cmdHeal,
			"platform":   cmdPlatform,
			"engine":     cmdEngine,
			"service":    cmdService,
			"file":       cmdFile,
			"first":      cmdFirst,
			"request":    cmdRequest,
			"await":      cmdAwait,
			"background": cmdBackground,
			"flood":      cmdFlood,
			"join":       cmdJoin,
			"crashes":    cmdCrashes,
			"bookings":   cmdBookings,
			"weights":    cmdWeights,
			"noleaks":    cmdNoLeaks,
			"nosecret":   cmdNoSecret,
		},
	})
}
