// Command standin plays the cases of the review: it serves stand-ins for the platform's store,
// the workers and the clients, starts the routers as processes of their own, and checks one rule.
// It exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

var (
	recordMu   sync.Mutex
	recordFile *os.File
	started    = time.Now()
	routers    []*router
	workDir    string
)

// record writes a line to record.txt.
func record(format string, args ...any) {
	recordMu.Lock()
	defer recordMu.Unlock()
	if recordFile != nil {
		fmt.Fprintf(recordFile, "%8.3f ", time.Since(started).Seconds())
		fmt.Fprintf(recordFile, format+"\n", args...)
	}
}

// say writes a line to record.txt and to standard output.
func say(format string, args ...any) {
	record(format, args...)
	fmt.Printf(format+"\n", args...)
}

func fatal(format string, args ...any) {
	say("the case could not run: "+format, args...)
	stopAll()
	os.Exit(2)
}

func stopAll() {
	for _, r := range routers {
		if r.cmd != nil {
			r.kill()
		}
	}
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(workDir)
	}
}

// cases are the cases by number. Each reports whether the rule was broken.
var cases = map[string]func(trouble bool) bool{
	"lockout":  playLockout,
	"versions": playVersions,
	"tunnel":   playTunnel,
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		os.Exit(2)
	}
	play := cases[os.Args[1]]
	if play == nil {
		fmt.Fprintln(os.Stderr, "unknown case", os.Args[1])
		os.Exit(2)
	}
	var err error
	if recordFile, err = os.Create(os.Args[2]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	if workDir, err = os.MkdirTemp("", "review-"); err != nil {
		fatal("%v", err)
	}
	if _, err := os.Stat(filepath.FromSlash("target/papayaspand")); err != nil {
		fatal("run the build of deploy/system.toml first: %v", err)
	}
	time.AfterFunc(115*time.Second, func() { fatal("time is up") })
	trouble := os.Getenv("TROUBLE") != "0"
	broken := play(trouble)
	stopAll()
	if broken {
		say("BROKEN")
		os.Exit(1)
	}
	say("HELD")
}
