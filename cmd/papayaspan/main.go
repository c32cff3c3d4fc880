// Command papayaspan is the operators' command-line tool.
package main

import (
	"context"
	"os"

	"papayaspan.dev/papayaspan/internal/cli"
)

func main() {
	os.Exit(cli.Run(context.Background(), os.Args[1:], os.Stdout, os.Stderr))
}
