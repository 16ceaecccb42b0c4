package main

import (
	_ "embed"
	"encoding/json"
)

//go:embed wire.json
var wireData []byte

// wire holds the names and messages of the platform's pages.
var wire = func() map[string]string {
	out := map[string]string{}
	if err := json.Unmarshal(wireData, &out); err != nil {
		panic(err)
	}
	return out
}()
