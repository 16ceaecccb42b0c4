// Package documenter writes the settings reference from the schema.
package documenter

import (
	"fmt"
	"io"
	"regexp"
	"strings"

	"github.com/pkg/errors"

	"github.com/lavenderhub/lavenderhub/schema"
)

var (
	messagePattern = regexp.MustCompile(`^message (\w+) \{`)
	fieldPattern   = regexp.MustCompile(`^\s+(optional |repeated )?([\w.]+) (\w+) = \d+(?: \[(.*)\])?;`)
)

// left out: these are no part of a settings file.
var internalMessages = map[string]bool{"Branch": true, "Account": true, "Key": true, "TokenKey": true}

// Write writes the reference of the settings file and of the settings tree in Markdown.
func Write(w io.Writer) error {
	_, err := fmt.Fprint(w, "# Settings reference\n\nMade from the schema by `make docs`. A settings file is JSON with comments; "+
		"durations are written like `\"250ms\"`, addresses are an IP address and a port.\n")
	if err != nil {
		return err
	}
	for _, file := range []string{"settings.proto", "policy.proto"} {
		data, err := schema.Sources.ReadFile(file)
		if err != nil {
			return errors.Wrap(err, "read schema")
		}
		writeMessages(w, string(data))
	}
	return nil
}

func writeMessages(w io.Writer, text string) {
	comment, inside := "", false
	for line := range strings.SplitSeq(text, "\n") {
		trimmed := strings.TrimSpace(line)
		if rest, ok := strings.CutPrefix(trimmed, "//"); ok {
			comment = strings.TrimSpace(comment + rest)
			comment += " "
			continue
		}
		if m := messagePattern.FindStringSubmatch(line); m != nil {
			if inside = !internalMessages[m[1]]; inside {
				fmt.Fprintf(w, "\n## %s\n\n%s\n\n| field | type | | meaning |\n|---|---|---|---|\n", m[1], strings.TrimSpace(comment))
			}
		}
		if m := fieldPattern.FindStringSubmatch(line); m != nil && inside {
			writeField(w, m, strings.TrimSpace(comment))
		}
		comment = ""
	}
}

func writeField(w io.Writer, m []string, comment string) {
	kind := strings.TrimPrefix(m[2], "google.protobuf.")
	if m[1] == "repeated " {
		kind = "list of " + kind
	}
	need := ""
	if strings.Contains(m[4], "required) = true") {
		need = "required"
	}
	fmt.Fprintf(w, "| %s | %s | %s | %s |\n", camelCase(m[3]), kind, need, comment)
}

// camelCase turns stop_limit into stopLimit, as files write it.
func camelCase(name string) string {
	parts := strings.Split(name, "_")
	for i := 1; i < len(parts); i++ {
		parts[i] = strings.ToUpper(parts[i][:1]) + parts[i][1:]
	}
	return strings.Join(parts, "")
}
