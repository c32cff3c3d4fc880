// Command papayaspan-standins serves the stand-ins for the platform, the model
// engines and a plain service on loopback, for tests with separate router
// processes.
// It prints one line "standins platform=URL service=URL engines=URL,URL" and
// runs until its standard input is closed.
package main

import (
	"flag"
	"fmt"
	"io"
	"os"
	"strings"

	"papayaspan.dev/papayaspan/internal/standin/local"
)

func main() {
	n := flag.Int("engines", 3, "number of engines")
	flag.Parse()
	s, err := local.Start(*n, local.EngineOptions())
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	defer s.Close()
	fmt.Printf("standins platform=%s service=%s engines=%s\n", s.PlatformURL, s.ServiceURL, strings.Join(s.EngineURLs, ","))
	_, _ = io.Copy(io.Discard, os.Stdin)
}
