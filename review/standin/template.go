package main

import (
	"encoding/json"
	"fmt"
	"regexp"
	"strconv"
	"strings"
)

var tag = regexp.MustCompile(`\{\{([#^/]?)([^}]*)\}\}`)

// render fills in a settings template: values, sections and inverted sections, as DEPLOY.md describes them. Sections of lists are
// not needed by this project's template.
func render(text string, values map[string]any) string {
	var out strings.Builder
	for {
		m := tag.FindStringSubmatchIndex(text)
		if m == nil {
			out.WriteString(text)
			return out.String()
		}
		out.WriteString(text[:m[0]])
		kind, name := text[m[2]:m[3]], text[m[4]:m[5]]
		text = text[m[1]:]
		if kind == "" {
			out.WriteString(value(name, values))
			continue
		}
		end := strings.Index(text, "{{/"+name+"}}")
		if end < 0 {
			panic("section " + name + " has no end")
		}
		if isSet(lookUp(name, values)) == (kind == "#") {
			out.WriteString(render(text[:end], values))
		}
		text = text[end+len("{{/"+name+"}}"):]
	}
}

func value(name string, values map[string]any) string {
	name, asJSON := strings.CutSuffix(name, "|json")
	v := lookUp(name, values)
	if asJSON {
		data, err := json.Marshal(v)
		if err != nil {
			panic(err)
		}
		return string(data)
	}
	if v == nil {
		return ""
	}
	return fmt.Sprint(v)
}

func isSet(v any) bool {
	return v != nil && v != false
}

// lookUp returns the value at a path such as a.b or a.0, or nil.
func lookUp(path string, values map[string]any) any {
	var v any = values
	for part := range strings.SplitSeq(path, ".") {
		switch t := v.(type) {
		case map[string]any:
			v = t[part]
		case []int:
			i, err := strconv.Atoi(part)
			if err != nil || i >= len(t) {
				return nil
			}
			v = t[i]
		default:
			return nil
		}
	}
	return v
}
