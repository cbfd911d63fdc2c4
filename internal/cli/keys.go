package cli

import (
	"bufio"
	"crypto/rand"
	"encoding/base64"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"

	"github.com/medlardeck/medlardeck/internal/operatorapi"
)

// keyBytes is the length of a new key before its encoding.
const keyBytes = 32

const keysUsage = "keys new | keys hash < FILE"

// runKeys makes keys of workspaces and tokens of operators, and hashes them.
func runKeys(args []string, stdout, stderr io.Writer) int {
	fs := flag.NewFlagSet("keys", flag.ContinueOnError)
	fs.SetOutput(stderr)
	fs.Usage = func() { fmt.Fprintln(stderr, "usage: medlardeck", keysUsage) }
	output := fs.String("o", "table", "output: table or json")
	if err := fs.Parse(args); err != nil {
		return fail(stderr, err)
	}
	switch fs.Arg(0) {
	case "new":
		raw := make([]byte, keyBytes)
		if _, err := rand.Read(raw); err != nil {
			return fail(stderr, fmt.Errorf("make key: %w", err))
		}
		printKey(stdout, *output, base64.RawURLEncoding.EncodeToString(raw))
		return exitOK
	case "hash":
		return hashKeys(os.Stdin, stdout, stderr)
	}
	return fail(stderr, errors.New("usage: medlardeck "+keysUsage))
}

func printKey(w io.Writer, output, key string) {
	hash := operatorapi.HashToken(key)
	if output == "json" {
		writeJSON(w, struct {
			Key  string `json:"key"`
			Hash string `json:"hash"`
		}{key, hash})
		return
	}
	fmt.Fprintf(w, "key   %s\nhash  %s\n", key, hash)
}

// hashKeys prints the hash of each line, so that keys need not stand on a
// command line.
func hashKeys(r io.Reader, stdout, stderr io.Writer) int {
	scan := bufio.NewScanner(r)
	for scan.Scan() {
		if scan.Text() != "" {
			fmt.Fprintln(stdout, operatorapi.HashToken(scan.Text()))
		}
	}
	if err := scan.Err(); err != nil {
		return fail(stderr, fmt.Errorf("read keys: %w", err))
	}
	return exitOK
}
