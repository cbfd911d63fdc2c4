package main

import (
	_ "embed"
	"encoding/json"
	"fmt"
)

//go:embed wire/names.json
var namesText []byte

// names are the names of the platform's wire formats, which no program outside its adapter
// spells.
var names = func() map[string]string {
	var m map[string]string
	if err := json.Unmarshal(namesText, &m); err != nil {
		panic(fmt.Sprintf("names.json: %v", err))
	}
	return m
}()
