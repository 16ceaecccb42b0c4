// Package schema holds the generated code of the settings file, the replicated state and the messages
// between processes.
package schema
