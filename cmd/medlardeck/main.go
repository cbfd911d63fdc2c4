// Command medlardeck is the serving layer's one binary; see the README.
package main

import (
	"os"

	"github.com/medlardeck/medlardeck/internal/cli"
)

func main() { os.Exit(cli.Main(os.Args[1:], os.Stdout, os.Stderr)) }
