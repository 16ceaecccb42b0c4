// Package schema holds the generated code of the settings file, the replicated state and the messages
// between processes.
package schema

import "embed"

// Sources holds the definitions that the settings reference is made from.
//
//go:embed settings.proto policy.proto
var Sources embed.FS
