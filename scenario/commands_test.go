package scenario

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"papayaspan.dev/papayaspan/internal/account"
	"papayaspan.dev/papayaspan/internal/standin/engine"
	"papayaspan.dev/papayaspan/internal/standin/local"
	"papayaspan.dev/papayaspan/internal/standin/memplatform"
	"papayaspan.dev/papayaspan/internal/standin/platformserver"
	"papayaspan.dev/papayaspan/internal/standin/service"
)

// firstTicket is resolved at start-up, before a script changes the working directory.
var firstTicket, _ = filepath.Abs("testdata/first.ticket.jsonc")

func deploymentOf(ts *testscript.TestScript) *deployment {
	return ts.Value(deploymentKey{}).(*deployment)
}

// cmdStandins starts the stand-ins: standins ENGINES. It sets the variables
// ENGINE1, ENGINE2, ... and SERVICE to their URLs, and KEYHASH to the hash of
// the caller's secret.
func cmdStandins(ts *testscript.TestScript, _ bool, args []string) {
	d := deploymentOf(ts)
	ts.Check(d.startStandins(args[0]))
	for i, url := range d.engineURLs {
		ts.Setenv("ENGINE"+strconv.Itoa(i+1), url)
	}
	ts.Setenv("SERVICE", d.serviceURL)
	ts.Setenv("MODEL", local.Model)
	ts.Setenv("WEIGHTS", local.Weights)
	ts.Setenv("KEYHASH", account.HashSecret(local.CallerSecret))
}

// cmdVM acts on VMs: vm start|kill|freeze|wake|stop|gone|leaving NAME...
// stop sends SIGTERM; freeze and wake send SIGSTOP and SIGCONT; gone waits until
// the process has exited; leaving marks the VM as leaving in the membership list.
func cmdVM(ts *testscript.TestScript, _ bool, args []string) {
	d := deploymentOf(ts)
	for _, name := range args[1:] {
		v := d.vms[name]
		switch args[0] {
		case "start":
			ts.Check(d.startVM(name))
		case "kill":
			v.kill()
		case "freeze":
			ts.Check(v.signal(syscall.SIGSTOP))
		case "wake":
			ts.Check(v.signal(syscall.SIGCONT))
		case "stop":
			ts.Check(v.signal(syscall.SIGTERM))
		case "gone":
			select {
			case <-v.exited:
			case <-time.After(callTimeout):
				ts.Fatalf("%s still runs", name)
			}
		case "leaving":
			v.member.Leaving = true
			ts.Check(d.setMember(v.member))
		default:
			ts.Fatalf("unknown action %s", args[0])
		}
	}
}

// cmdCut cuts network links: cut END END... cuts the links between the first end
// and each of the others.
func cmdCut(ts *testscript.TestScript, _ bool, args []string) {
	for _, other := range args[1:] {
		deploymentOf(ts).net.setCut(args[0], other, true)
	}
}

// cmdHeal restores network links: heal END END... restores the links between the
// first end and each of the others.
func cmdHeal(ts *testscript.TestScript, _ bool, args []string) {
	for _, other := range args[1:] {
		deploymentOf(ts).net.setCut(args[0], other, false)
	}
}

// cmdPlatform sets the platform's faults: platform up|down|lose N|drop N. With
// lose N the next N writes take effect and their responses are lost; with drop N they
// have no effect and their responses are lost.
func cmdPlatform(ts *testscript.TestScript, _ bool, args []string) {
	d := deploymentOf(ts)
	var f memplatform.Faults
	switch args[0] {
	case "up":
	case "down":
		f.Down = true
	case "lose":
		f.LoseAnswers = atoi(ts, args[1])
	case "drop":
		f.DropWrites = atoi(ts, args[1])
	default:
		ts.Fatalf("unknown fault %s", args[0])
	}
	ts.Check(d.control(http.MethodPost, d.platformURL+platformserver.PathFaults, f))
}

// cmdEngine controls the faults of an engine: engine N crash | crash-after N | crash-text
// TEXT | truncate N | wrong-id | stall | unstall.
func cmdEngine(ts *testscript.TestScript, _ bool, args []string) {
	d := deploymentOf(ts)
	url := d.engineURLs[atoi(ts, args[0])-1] + engine.PathControl
	var c engine.Control
	yes, no := true, false
	switch args[1] {
	case "crash":
		c.Crash = true
	case "crash-after":
		n := atoi(ts, args[2])
		c.CrashAfterTokens = &n
	case "crash-text":
		c.CrashText = &args[2]
	case "truncate":
		n := atoi(ts, args[2])
		c.TruncateAfterTokens = &n
	case "wrong-id":
		c.WrongID = &yes
	case "stall":
		c.Stall = &yes
	case "unstall":
		c.Stall = &no
	default:
		ts.Fatalf("unknown action %s", args[1])
	}
	ts.Check(d.control(http.MethodPost, url, c))
}

// cmdService injects faults into the plain service: service lose N closes the
// connections of the next N bookings after they have run.
func cmdService(ts *testscript.TestScript, _ bool, args []string) {
	d := deploymentOf(ts)
	ts.Check(d.control(http.MethodPost, d.serviceURL+"/control", service.Control{LoseAnswers: atoi(ts, args[1])}))
}

// cmdFile files a ticket through a VM with the command-line tool: file VM FILE
// [flags]. Variables in the file are expanded.
func cmdFile(ts *testscript.TestScript, neg bool, args []string) {
	fileTicket(ts, neg, args[0], ts.ReadFile(args[1]), args[2:])
}

// cmdFirst files the ticket of testdata/first.ticket.jsonc: first VM [flags].
func cmdFirst(ts *testscript.TestScript, neg bool, args []string) {
	text, err := os.ReadFile(firstTicket)
	ts.Check(err)
	fileTicket(ts, neg, args[0], string(text), args[1:])
}

func fileTicket(ts *testscript.TestScript, neg bool, vm, text string, flags []string) {
	d := deploymentOf(ts)
	file, err := os.CreateTemp(d.dir, "ticket")
	ts.Check(err)
	_, err = file.WriteString(os.Expand(text, ts.Getenv))
	ts.Check(err)
	ts.Check(file.Close())
	words := append([]string{"file", "-admin", "http://" + d.vms[vm].admin}, flags...)
	cmd := exec.Command(filepath.Join(binDir, "papayaspan"), append(words, file.Name())...)
	cmd.Env = append(os.Environ(), "PAPAYASPAN_OPERATOR_KEY="+operatorKey)
	out, err := cmd.CombinedOutput()
	fmt.Fprint(ts.Stdout(), string(out))
	if (err != nil) != neg {
		ts.Fatalf("file: %v\n%s", err, out)
	}
}

// cmdRequest sends a request: request VM [word=value]... The words are described
// at type call.
func cmdRequest(ts *testscript.TestScript, neg bool, args []string) {
	c, err := parseCall(args)
	ts.Check(err)
	body, err := c.run(deploymentOf(ts).vms[c.vm].caller)
	fmt.Fprint(ts.Stdout(), body)
	if (err != nil) != neg {
		ts.Fatalf("request: %v", err)
	}
}

// cmdBackground sends a request in the background: background NAME VM
// [word=value]...
func cmdBackground(ts *testscript.TestScript, _ bool, args []string) {
	d := deploymentOf(ts)
	c, err := parseCall(args[1:])
	ts.Check(err)
	result := make(chan error, 1)
	addr := d.vms[c.vm].caller
	go func() {
		_, err := c.run(addr)
		result <- err
	}()
	d.background[args[0]] = result
}

// cmdJoin waits for a background request or flood and checks that its result is as
// expected: join NAME. The name wait is a built-in command of testscript.
func cmdJoin(ts *testscript.TestScript, _ bool, args []string) {
	select {
	case err := <-deploymentOf(ts).background[args[0]]:
		ts.Check(err)
	case <-time.After(callTimeout):
		ts.Fatalf("%s has not ended", args[0])
	}
}

// cmdCrashes checks the total number of crashes of all engines: crashes COUNT.
func cmdCrashes(ts *testscript.TestScript, _ bool, args []string) {
	d := deploymentOf(ts)
	sum := 0
	for _, url := range d.engineURLs {
		var e engine.Stats
		ts.Check(d.read(url+engine.PathControl, &e))
		sum += e.Crashes
	}
	if sum != atoi(ts, args[0]) {
		ts.Fatalf("%d crashes, want %s", sum, args[0])
	}
}

// cmdAwait waits until a VM's log contains the text: await VM TEXT.
func cmdAwait(ts *testscript.TestScript, _ bool, args []string) {
	v := deploymentOf(ts).vms[args[0]]
	ts.Check(until(callTimeout, func() error {
		if strings.Contains(v.log.String(), args[1]) {
			return nil
		}
		return fmt.Errorf("no %q in the log of %s", args[1], v.name)
	}))
}

// cmdBookings checks how many times the service ran a booking: bookings BODY COUNT.
func cmdBookings(ts *testscript.TestScript, _ bool, args []string) {
	d := deploymentOf(ts)
	var s service.Stats
	ts.Check(d.read(d.serviceURL+"/control", &s))
	if got := s.Bookings[args[0]]; got != atoi(ts, args[1]) {
		ts.Fatalf("booking %q ran %d times, want %s", args[0], got, args[1])
	}
}

// cmdNoLeaks checks that no backend server received a caller's key.
func cmdNoLeaks(ts *testscript.TestScript, _ bool, _ []string) {
	d := deploymentOf(ts)
	var s service.Stats
	ts.Check(d.read(d.serviceURL+"/control", &s))
	leaked := s.LeakedKeys
	for _, url := range d.engineURLs {
		var e engine.Stats
		ts.Check(d.read(url+engine.PathControl, &e))
		leaked = append(leaked, e.LeakedKeys...)
	}
	if len(leaked) > 0 {
		ts.Fatalf("backend servers saw %q", leaked)
	}
}

// cmdNoSecret checks that no VM's log contains the text: nosecret TEXT.
func cmdNoSecret(ts *testscript.TestScript, _ bool, args []string) {
	for _, v := range deploymentOf(ts).vms {
		if strings.Contains(v.log.String(), args[0]) {
			ts.Fatalf("the log of %s holds %q", v.name, args[0])
		}
	}
}

func atoi(ts *testscript.TestScript, s string) int {
	n, err := strconv.Atoi(s)
	ts.Check(err)
	return n
}
