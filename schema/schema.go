// Package schema contains the generated code for the settings file, the replicated state and the messages
// between processes.
package schema

import "embed"

// Sources contains the definitions from which the settings reference is generated.
//
//go:embed settings.proto policy.proto
var Sources embed.FS
