package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
)

// The tags of the settings template: innermost sections and placeholders.
var (
	sections     = regexp.MustCompile(`\{\{([#^])([a-zA-Z.]+)\}\}((?:[^{]|\{[^{]|\{\{[^#^/])*?)\{\{/([a-zA-Z.]+)\}\}`)
	placeholders = regexp.MustCompile(`\{\{([a-zA-Z0-9.]+)(\|json)?\}\}`)
)

// lookup returns the value at a dotted name, or nil.
func lookup(root any, name string) any {
	for _, part := range strings.Split(name, ".") {
		switch v := root.(type) {
		case map[string]any:
			root = v[part]
		case []any:
			var i int
			if _, err := fmt.Sscan(part, &i); err != nil || i >= len(v) {
				return nil
			}
			root = v[i]
		default:
			return nil
		}
	}
	return root
}

// render fills in the settings template of the deploy file, in the part of the template language that it uses.
func render(template string, fields map[string]any) string {
	data, _ := json.Marshal(fields)
	var root any
	_ = json.Unmarshal(data, &root)
	for sections.MatchString(template) {
		template = sections.ReplaceAllStringFunc(template, func(s string) string {
			m := sections.FindStringSubmatch(s)
			v := lookup(root, m[2])
			if present := v != nil && v != false && v != ""; present == (m[1] == "#") {
				return m[3]
			}
			return ""
		})
	}
	return placeholders.ReplaceAllStringFunc(template, func(s string) string {
		m := placeholders.FindStringSubmatch(s)
		v := lookup(root, m[1])
		if text, ok := v.(string); ok && m[2] == "" {
			return text
		}
		if v == nil && m[2] == "" {
			return ""
		}
		text, _ := json.Marshal(v)
		return string(text)
	})
}

// machine is a machine of the deployment, with the process of the system on it.
type machine struct {
	name, role, zone, ip string
	service              string
	dataDir              string
	proc                 *process
	started              bool
}

func (f *fleet) fields(m *machine) map[string]any {
	out := map[string]any{
		"nodeName": m.name, "role": m.role, "ip": m.ip, "zone": m.zone, "region": "region-a", "firstStart": !m.started,
		"limits":        map[string]any{"memoryMb": 284},
		"internalPorts": []int{f.port + 10, f.port + 25}, "seeds": f.seeds(), "heartbeatS": 1.5,
		"contracts":      f.contracts,
		"faultTolerance": map[string]any{"machines": 1, "zones": 0, "regions": 0},
		"bounds": map[string]any{
			"drainS": 2, "graceS": 6, "configApplyS": 2, "revokeS": 5, "retryBudgetRatio": 0.2, "budgetWindowS": 10, "retryBudgetSlack": 49,
		},
		"listen": map[string]any{
			"inbound": f.addr(m, inboundPort), "outbound": f.addr(m, outboundPort), "ready": f.addr(m, readyPort),
			"controlPlane": f.addr(m, controlPort),
		},
	}
	if m.dataDir != "" {
		out["dataDir"] = m.dataDir
	} else {
		out["appAddr"], out["service"] = f.addr(m, appPort), m.service
	}
	return out
}

// writeSettings renders the settings of a machine's process and returns the file.
func (f *fleet) writeSettings(m *machine) (string, error) {
	template, err := os.ReadFile(filepath.Join(f.root, "deploy", "settings.jsonc.tmpl"))
	if err != nil {
		return "", err
	}
	file := filepath.Join(f.dir, m.name+".jsonc")
	return file, os.WriteFile(file, []byte(render(string(template), f.fields(m))), 0o600)
}
