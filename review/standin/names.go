package main

import (
	_ "embed"
	"encoding/json"
)

//go:embed names.json
var namesFile []byte

// wireNames holds the names of the platform's wire format.
type wireNames struct {
	RequestID, Deadline, Stamp, ExpectInstance, NotExecuted, CallerService string
	Load, Instance, Tenant, Keys, Prefix, ColdLeft                         string
}

var names = readNames()

func readNames() wireNames {
	var n wireNames
	if err := json.Unmarshal(namesFile, &n); err != nil {
		panic(err)
	}
	return n
}
