package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/lavenderhub/lavenderhub/internal/parser"
	"github.com/lavenderhub/lavenderhub/schema"
)

// nodeFields and controlFields are made-up examples of the values with which the platform renders the settings template.
const nodeFields = `{"nodeName":"side-a-1","role":"node","ip":"10.1.0.26","zone":"zone-a","region":"region-a",
"listen":{"inbound":"10.1.0.26:8543","outbound":"10.1.0.26:8548","ready":"10.1.0.26:8546","controlPlane":"10.1.0.26:8540"},
"internalPorts":[7000,7015],"seeds":["10.1.0.30:8540","10.2.0.27:8540"],"firstStart":true,"limits":{"memoryMb":284},
"dataDir":null,"heartbeatS":1.5,"contracts":["base","health"],"faultTolerance":{"machines":1},"appAddr":"10.1.0.26:8547","service":"orders",
"bounds":{"drainS":2,"graceS":6,"configApplyS":2,"revokeS":5,"retryBudgetRatio":0.2,"budgetWindowS":10,"retryBudgetSlack":49}}`

const controlFields = `{"nodeName":"core-a-1","role":"control","ip":"10.1.0.30","zone":"zone-a","region":"region-a",
"listen":{"controlPlane":"10.1.0.30:8540"},"internalPorts":[7000,7015],"seeds":["10.1.0.30:8540"],"firstStart":false,
"limits":{"memoryMb":280},"dataDir":"/data/control","heartbeatS":1.5,"faultTolerance":{"machines":2},"bounds":{"graceS":6}}`

// sections matches the innermost sections of a template, placeholders its other tags.
var (
	sections     = regexp.MustCompile(`\{\{([#^])([a-zA-Z.]+)\}\}((?:[^{]|\{[^{]|\{\{[^#^/])*?)\{\{/([a-zA-Z.]+)\}\}`)
	placeholders = regexp.MustCompile(`\{\{([a-zA-Z0-9.]+)(\|json)?\}\}`)
)

// render renders a template with the given values. It supports the subset of the platform's template language that the
// settings template uses.
func render(t *testing.T, template, fields string) string {
	t.Helper()
	var root map[string]any
	if err := json.Unmarshal([]byte(fields), &root); err != nil {
		t.Fatal(err)
	}
	for sections.MatchString(template) {
		template = sections.ReplaceAllStringFunc(template, func(s string) string {
			m := sections.FindStringSubmatch(s)
			if m[2] != m[4] {
				t.Fatalf("section %s is closed as %s", m[2], m[4])
			}
			v := find(root, m[2])
			if list, ok := v.([]any); ok && m[1] == "#" {
				text := ""
				for _, entry := range list {
					text += strings.ReplaceAll(m[3], "{{.}}", fmt.Sprint(entry))
				}
				return text
			}
			if present := v != nil && v != false && v != ""; present == (m[1] == "#") {
				return m[3]
			}
			return ""
		})
	}
	return placeholders.ReplaceAllStringFunc(template, func(s string) string {
		m := placeholders.FindStringSubmatch(s)
		v := find(root, m[1])
		text, err := json.Marshal(v)
		if err != nil {
			t.Fatal(err)
		}
		if m[2] == "" {
			if v == nil {
				return ""
			}
			return strings.Trim(string(text), `"`)
		}
		return string(text)
	})
}

// find returns the value at a dotted path in decoded JSON, or nil. Array indexes are single digits.
func find(v any, path string) any {
	for part := range strings.SplitSeq(path, ".") {
		switch x := v.(type) {
		case map[string]any:
			v = x[part]
		case []any:
			v = x[int(part[0]-'0')]
		default:
			return nil
		}
	}
	return v
}

// TestTemplateRendersSettings checks that the rendered settings template is valid for a node and for a control host.
func TestTemplateRendersSettings(t *testing.T) {
	template, err := os.ReadFile(filepath.Join("deploy", "settings.jsonc.tmpl"))
	if err != nil {
		t.Fatal(err)
	}
	node, err := parser.Parse("node", []byte(render(t, string(template), nodeFields)))
	if err != nil {
		t.Fatal(err)
	}
	if n := node.GetNode(); node.GetControl() != nil || n.GetFace() != schema.Face_FACE_PLATFORM || n.GetService() != "orders" ||
		!slices.Equal(n.GetPlatformRules(), []string{"base", "health"}) || n.GetCallerAddress() != "10.1.0.26:8548" ||
		len(n.GetControlAddresses()) != 2 || node.GetTerms().GetRetrySlack() != 49 {
		t.Errorf("node settings %v", node)
	}
	if terms := node.GetTerms(); terms.GetColdExcess() != 1 || terms.GetColdSlack() != 0 || terms.GetEvacuateLimit() != nil {
		t.Errorf("terms without bounds on cold upstreams and evacuations: %v", terms)
	}
	// A platform that names no rules is served like one with none.
	node, err = parser.Parse("node", []byte(render(t, string(template), strings.Replace(nodeFields, `"contracts":["base","health"],`, "", 1))))
	if err != nil || len(node.GetNode().GetPlatformRules()) != 0 {
		t.Errorf("rules %v, %v without contracts", node.GetNode().GetPlatformRules(), err)
	}
	bounded := strings.Replace(nodeFields, `"drainS":2`, `"coldExcess":1.5,"coldSlack":8,"evacuateS":5,"drainS":2`, 1)
	node, err = parser.Parse("node", []byte(render(t, string(template), bounded)))
	if err != nil {
		t.Fatal(err)
	}
	if terms := node.GetTerms(); terms.GetColdExcess() != 1.5 || terms.GetColdSlack() != 8 ||
		terms.GetEvacuateLimit().AsDuration() != 5*time.Second || terms.GetRetryWindow().AsDuration() != 10*time.Second {
		t.Errorf("terms with bounds on cold upstreams and evacuations: %v", terms)
	}
	control, err := parser.Parse("control", []byte(render(t, string(template), controlFields)))
	if err != nil {
		t.Fatal(err)
	}
	if c := control.GetControl(); control.GetNode() != nil || c.GetToleratedLosses() != 2 || c.GetFirstStart() ||
		c.GetDataFolder() != "/data/control" || len(c.GetSeeds()) != 1 {
		t.Errorf("control settings %v", control)
	}
}
