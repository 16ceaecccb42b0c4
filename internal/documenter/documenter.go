// Package documenter generates the settings reference from the comments in the schema.
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

// internalMessages lists the messages that the reference omits because settings files don't contain them.
var internalMessages = map[string]bool{"Branch": true, "Account": true, "Key": true, "TokenKey": true}

// Write writes the reference of the settings file and the settings tree in Markdown.
func Write(w io.Writer) error {
	_, err := fmt.Fprint(w, "# Settings reference\n\nGenerated from the schema by `make docs`. A settings file is JSON with comments. "+
		"Durations are strings such as `\"250ms\"`; addresses consist of an IP address and a port.\n")
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

// writeMessages writes a section with a table of fields for each message in the text of a proto file.
func writeMessages(w io.Writer, text string) {
	comment, inMessage := "", false
	for line := range strings.SplitSeq(text, "\n") {
		trimmed := strings.TrimSpace(line)
		if rest, ok := strings.CutPrefix(trimmed, "//"); ok {
			comment = strings.TrimSpace(comment + rest)
			comment += " "
			continue
		}
		if m := messagePattern.FindStringSubmatch(line); m != nil {
			if inMessage = !internalMessages[m[1]]; inMessage {
				fmt.Fprintf(w, "\n## %s\n\n%s\n\n| field | type | | meaning |\n|---|---|---|---|\n", m[1], strings.TrimSpace(comment))
			}
		}
		if m := fieldPattern.FindStringSubmatch(line); m != nil && inMessage {
			writeField(w, m, strings.TrimSpace(comment))
		}
		comment = ""
	}
}

// writeField writes the table row of a field. m holds the submatches of fieldPattern.
func writeField(w io.Writer, m []string, comment string) {
	kind := strings.TrimPrefix(m[2], "google.protobuf.")
	if m[1] == "repeated " {
		kind = "list of " + kind
	}
	presence := ""
	if strings.Contains(m[4], "required) = true") {
		presence = "required"
	}
	fmt.Fprintf(w, "| %s | %s | %s | %s |\n", camelCase(m[3]), kind, presence, comment)
}

// camelCase returns a field name in the form used in settings files: stopLimit for stop_limit.
func camelCase(name string) string {
	parts := strings.Split(name, "_")
	for i := 1; i < len(parts); i++ {
		parts[i] = strings.ToUpper(parts[i][:1]) + parts[i][1:]
	}
	return strings.Join(parts, "")
}
