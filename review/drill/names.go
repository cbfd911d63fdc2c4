// Command drill shows faults of the entry program. It starts that program as separate
// processes on loopback addresses and plays its callers, its targets and its platform.
package main

import (
	"embed"
	"encoding/json"
	"fmt"
	"os"
	"sync"
	"time"
)

//go:embed wire
var wireFiles embed.FS

// names are the names on the wire by what they mean here.
var names = loadNames()

func loadNames() map[string]string {
	raw, err := wireFiles.ReadFile("wire/names.json")
	if err != nil {
		panic(err)
	}
	loaded := make(map[string]string)
	if err := json.Unmarshal(raw, &loaded); err != nil {
		panic(err)
	}
	return loaded
}

// record writes what was sent, answered and run, with the time since its creation.
type record struct {
	mu    sync.Mutex
	file  *os.File
	begun time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, begun: time.Now()}, nil
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f  ", time.Since(r.begun).Seconds()) + fmt.Sprintf(format, args...)
	fmt.Println(line)
	fmt.Fprintln(r.file, line)
}
