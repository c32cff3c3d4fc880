package scenario

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"

	"papayaspan.dev/papayaspan/internal/account"
	"papayaspan.dev/papayaspan/internal/platform"
	"papayaspan.dev/papayaspan/internal/settings"
	"papayaspan.dev/papayaspan/internal/standin/local"
	"papayaspan.dev/papayaspan/internal/standin/loopback"
	"papayaspan.dev/papayaspan/internal/standin/platformserver"
)

const (
	operatorKey  = "operator-secret"
	startTimeout = 15 * time.Second
	callTimeout  = 20 * time.Second
	logTail      = 2000 // bytes
)

type deploymentKey struct{}

// deployment is the set of processes of one script and the network between them.
type deployment struct {
	dir string
	net *network

	mu          sync.Mutex
	standins    *exec.Cmd
	platformURL string
	serviceURL  string
	engineURLs  []string
	vms         map[string]*vmProcess
	octet       int
	// releasePorts ends the reservations of the VMs' ports.
	releasePorts []func()
	// background maps the names of background requests and floods to their results.
	background map[string]chan error
}

// vmProcess is one VM and its current router process. A restart replaces the process.
type vmProcess struct {
	name   string
	ip     string
	caller string
	peer   string
	admin  string
	file   string
	cmd    *exec.Cmd
	exited chan struct{}
	log    *logBuffer
	member platform.Member
}

// logBuffer collects the log output of a VM across restarts of its process.
type logBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.Write(p)
}

func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.String()
}

// tail returns the last bytes of the log.
func (l *logBuffer) tail(bytes int) string {
	s := l.String()
	return s[max(0, len(s)-bytes):]
}

// deploymentCount numbers the deployments, so that each has its own loopback addresses.
var deploymentCount struct {
	sync.Mutex
	n int
}

func newDeployment(dir string) *deployment {
	deploymentCount.Lock()
	defer deploymentCount.Unlock()
	deploymentCount.n++
	return &deployment{dir: dir, net: newNetwork(), vms: map[string]*vmProcess{}, octet: deploymentCount.n, background: map[string]chan error{}}
}

func (d *deployment) close() {
	for _, v := range d.vms {
		v.kill()
	}
	if d.standins != nil {
		_ = d.standins.Process.Kill()
		_ = d.standins.Wait()
	}
	d.net.close()
	for _, release := range d.releasePorts {
		release()
	}
	if testing.Verbose() {
		for _, v := range d.vms {
			_ = os.WriteFile(filepath.Join(os.TempDir(), "scenario-"+filepath.Base(d.dir)+"-"+v.name+".log"), []byte(v.log.String()), 0o600)
		}
	}
}

func (d *deployment) startStandins(engines string) error {
	d.standins = exec.Command(filepath.Join(binDir, "papayaspan-standins"), "-engines", engines)
	if _, err := d.standins.StdinPipe(); err != nil {
		return err
	}
	out, err := d.standins.StdoutPipe()
	if err != nil {
		return err
	}
	if err := d.standins.Start(); err != nil {
		return err
	}
	line, err := bufio.NewReader(out).ReadString('\n')
	if err != nil {
		return err
	}
	var list string
	if _, err := fmt.Sscanf(line, "standins platform=%s service=%s engines=%s", &d.platformURL, &d.serviceURL, &list); err != nil {
		return errors.Wrapf(err, "line %q", line)
	}
	d.engineURLs = strings.Split(list, ",")
	return nil
}

// address returns the loopback address of VM i. It is unique to the VM, so that the
// network can identify the VM by the source address of its connections.
func (d *deployment) address(i int) string { return fmt.Sprintf("127.%d.1.%d", d.octet, i) }

func (d *deployment) vmByIP(a net.Addr) string {
	host, _, _ := net.SplitHostPort(a.String())
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, v := range d.vms {
		if v.ip == host {
			return v.name
		}
	}
	return host
}

// addVM prepares a VM: its addresses, proxied links and settings file.
func (d *deployment) addVM(name string) (*vmProcess, error) {
	d.mu.Lock()
	i := len(d.vms) + 1
	v := &vmProcess{name: name, ip: d.address(i), log: &logBuffer{}}
	d.vms[name] = v
	d.mu.Unlock()
	for _, addr := range []*string{&v.caller, &v.peer, &v.admin} {
		var release func()
		var err error
		if *addr, release, err = loopback.ReservePort(v.ip); err != nil {
			return nil, err
		}
		d.releasePorts = append(d.releasePorts, release)
	}
	peer, err := d.net.forward("127.0.0.1:0", v.peer, name, d.vmByIP)
	if err != nil {
		return nil, err
	}
	plat, err := d.net.forward("127.0.0.1:0", strings.TrimPrefix(d.platformURL, "http://"), "platform", func(net.Addr) string { return name })
	if err != nil {
		return nil, err
	}
	s := settings.Default()
	s.VM = settings.VM{ID: name, FailureDomain: fmt.Sprintf("domain-%c", 'a'+(i-1)%3)}
	s.Listen = settings.Listen{Caller: v.caller, Peer: v.peer, Admin: v.admin}
	s.Advertise.Peer = peer
	s.Platform.URL = "http://" + plat
	s.Operators = []settings.Operator{{Name: "alice", KeyHash: account.HashSecret(operatorKey)}}
	s.Routing.PieceTokens = local.EngineOptions().BlockTokens
	s.Log.Level = "debug"
	data, err := json.Marshal(s)
	if err != nil {
		return nil, err
	}
	v.file = filepath.Join(d.dir, name+".jsonc")
	v.member = platform.Member{ID: name, FailureDomain: s.VM.FailureDomain, CallerAddress: v.caller, PeerAddress: peer}
	return v, os.WriteFile(v.file, data, 0o600)
}

// startVM starts the router process of a VM and waits until it listens.
func (d *deployment) startVM(name string) error {
	v := d.vms[name]
	if v == nil {
		var err error
		if v, err = d.addVM(name); err != nil {
			return err
		}
	}
	if err := d.setMember(v.member); err != nil {
		return err
	}
	v.cmd = exec.Command(filepath.Join(binDir, "papayaspand"), "serve", "-settings", v.file)
	v.cmd.Stderr = v.log
	if err := v.cmd.Start(); err != nil {
		return err
	}
	v.exited = make(chan struct{})
	go func(c *exec.Cmd, exited chan struct{}) {
		_ = c.Wait()
		close(exited)
	}(v.cmd, v.exited)
	err := until(startTimeout, func() error {
		c, err := net.Dial("tcp", v.admin)
		if err == nil {
			_ = c.Close()
		}
		return err
	})
	return errors.Wrapf(err, "%s doesn't listen; its log ends with\n%s\n", name, v.log.tail(logTail))
}

func (v *vmProcess) signal(s syscall.Signal) error { return v.cmd.Process.Signal(s) }

func (v *vmProcess) kill() {
	if v.cmd == nil {
		return
	}
	_ = v.cmd.Process.Kill()
	<-v.exited
}

func (d *deployment) setMember(m platform.Member) error {
	return d.control(http.MethodPut, d.platformURL+platformserver.PathMember+m.ID, m)
}

// control sends a JSON body to a control endpoint of a stand-in process.
func (d *deployment) control(method, url string, body any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	req, err := http.NewRequest(method, url, bytes.NewReader(data))
	if err != nil {
		return err
	}
	client := &http.Client{Timeout: callTimeout}
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	if resp.StatusCode >= http.StatusBadRequest {
		return errors.Errorf("%s: status %d: %s", url, resp.StatusCode, text)
	}
	return nil
}

func (d *deployment) read(url string, v any) error {
	client := &http.Client{Timeout: callTimeout}
	resp, err := client.Get(url)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	return json.NewDecoder(resp.Body).Decode(v)
}

// until calls f until it succeeds or the time has passed, and returns the last
// error.
func until(d time.Duration, f func() error) error {
	const pause = 20 * time.Millisecond
	deadline := time.Now().Add(d)
	for {
		err := f()
		if err == nil || time.Now().After(deadline) {
			return err
		}
		time.Sleep(pause)
	}
}
