package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// router is one machine with a router process, which is started with the run line of
// deploy/system.toml.
type router struct {
	name, zone                     string
	front, ready, directory, store string
	internal                       int
	paths                          *paths
	settings, logFile              string

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
}

// Ports of routers are below the kernel's ephemeral range, whose ports the clients' connections take.
const firstPort, lastPort = 12000, 32000

var nextPort = firstPort + os.Getpid()*101%(lastPort-firstPort)

// freePort returns a port that is free for TCP and UDP.
func freePort() int {
	for range lastPort - firstPort {
		if nextPort++; nextPort >= lastPort {
			nextPort = firstPort
		}
		l, err := net.Listen("tcp", local(nextPort))
		if err != nil {
			continue
		}
		u, err := net.ListenPacket("udp4", local(nextPort))
		_ = l.Close()
		if err != nil {
			continue
		}
		_ = u.Close()
		return nextPort
	}
	fatal("no free port")
	return 0
}

// memoryLimitMB is memory_mb of the example in DEPLOY.
const memoryLimitMB = 284

func local(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }

func newRouter(name, zone string, s *store, direct bool, dir string) *router {
	r := &router{name: name, zone: zone, paths: newPaths(direct)}
	r.front, r.ready, r.directory, r.internal = local(freePort()), local(freePort()), local(freePort()), freePort()
	r.store = serve(&storePath{store: s, address: r.paths.address})
	// Fields and figures of the example in DEPLOY.
	settings := map[string]any{
		"node": name, "role": "router", "machine_class": "edge", "serves": []string{"edge", "registry"},
		"ip": "127.0.0.1", "zone": zone, "region": "region-1",
		"zones":  map[string]string{"zone-a": "region-1", "zone-b": "region-1", "zone-c": "region-1"},
		"listen": map[string]string{"front": r.front, "ready": r.ready, "directory": r.directory},
		// Only the first port is used.
		"internal_ports": []int{r.internal, r.internal},
		"seeds":          []string{}, "bootstrap": true, "in_fault_budget": false,
		"limits":   map[string]any{"cpu_share": 0.4, "cores": 1, "memory_mb": memoryLimitMB, "max_fds": 4200, "link_mbps": 1000.0, "disk_mb": 0},
		"data_dir": nil, "discovery": "platform", "entry": "registry", "heartbeat_ms": 1200,
		"contracts":       []string{"base", "drain", "config", "cost", "retry", "recover", "kvcache", "stream", "engine", "tenants", "quota", "platform"},
		"fault_tolerance": map[string]int{"machines": 1, "zones": 0, "regions": 0},
		"bounds": map[string]any{
			"seed_lag_s": 3, "addr_reuse_s": 2, "stable_window_ms": 3000, "ack_ms": 4000, "catch_up_s": 4, "drain_ms": 2000,
			"grace_s": 8, "loss_slack_ms": 200, "config_apply_ms": 2000, "rollback_slack_ms": 250, "max_stretch_ms": 5000,
			"strict_revoke": false, "revoke_ms": 5000, "retry_budget_ratio": 0.2, "budget_window_s": 10, "retry_slack": 52,
			"quota_window_s": 8, "quota_overshoot": 0.1, "quota_slack": 190000, "recovery_s": 12, "transit_ms": 120,
			"reuse_window_s": 10, "fencing_enforced": true, "lease_ms": 3000, "thaw_ms": 300, "version_ms": 15000,
			"version_all_ms": 21000, "ttl_max_s": 5,
		},
		"platform": map[string]any{
			"address": r.store, "form": "table", "writes_per_s": 400, "reads_per_s": 2000, "txn_latency_ms": 5.0,
			"partition_writes_s": 200, "max_row_bytes": 65536, "cross_shard": false, "history_s": 20,
			"blob_bytes": 8388608, "blob_ms": 25.0, "blob_mb_s": 80.0,
		},
	}
	data, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		fatal("settings: %v", err)
	}
	r.settings, r.logFile = filepath.Join(dir, name+".json"), filepath.Join(dir, name+".log")
	if err := os.WriteFile(r.settings, data, 0o600); err != nil {
		fatal("settings: %v", err)
	}
	return r
}

// start starts the process and watches for its end.
func (r *router) start() {
	log, err := os.OpenFile(r.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		fatal("log: %v", err)
	}
	cmd := exec.Command("target/papayaspand", "edge")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=/tmp", "LANG=C", "PAPAYASPAN_NODE_FILE=" + r.settings}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		fatal("start %s: %v", r.name, err)
	}
	done := make(chan struct{})
	r.mu.Lock()
	r.cmd, r.done = cmd, done
	r.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		_ = log.Close()
		close(done)
	}()
	record("router %s started, pid %d", r.name, cmd.Process.Pid)
}

func (r *router) signal(sig syscall.Signal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cmd != nil {
		_ = r.cmd.Process.Signal(sig)
	}
}

// kill kills the process and waits for its end.
func (r *router) kill() {
	r.signal(syscall.SIGKILL)
	r.mu.Lock()
	done := r.done
	r.mu.Unlock()
	if done != nil {
		<-done
	}
}

// isReady asks the router's readiness address.
func (r *router) isReady() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + r.ready + "/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
