package cmd

import (
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"go.uber.org/zap"

	"github.com/lavenderhub/lavenderhub/internal/runner"
	"github.com/lavenderhub/lavenderhub/platform"
	"github.com/lavenderhub/lavenderhub/schema"
)

const checkedConfiguration = `{"version":"r2","baseVersion":"r1",
	"routes":{"a":{"host":"h.example","pathPrefix":"/","kind":"idempotent","timeoutS":1,"service":"s"}},
	"services":{"s":{}},"tenants":{"t":{"apiKeys":["k"]}},"limits":{}}`

// TestCheckConfigurationLooksFine guards against a configuration whose faults the command does not show, or does not fail for.
func TestCheckConfigurationLooksFine(t *testing.T) {
	folder := t.TempDir()
	write := func(name, text string) string {
		file := filepath.Join(folder, name)
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return file
	}
	next := write("next", checkedConfiguration)
	inForce := write("inForce", strings.NewReplacer("r1", "r0", "r2", "r1", `"timeoutS":1`, `"timeoutS":2`).Replace(checkedConfiguration))
	tests := []struct {
		args   []string
		status int
		want   []string
	}{
		{[]string{"--configuration", next}, 0, []string{"next: ok"}},
		{[]string{"--configuration", next, "--against", inForce}, 0, []string{`change: route "a": timeout: 1s, was 2s`, "next: ok"}},
		{[]string{"--configuration", inForce, "--against", next}, 1, []string{
			"error: it replaces version 0, and version 2 is in force", "error: its version 1 is not above version 2", "would refuse it",
		}},
		{[]string{"--configuration", write("text", "{")}, 1, []string{"unexpected EOF"}},
		{[]string{"--configuration", write("host", strings.Replace(checkedConfiguration, "h.example", "h.example:80", 1))}, 0, []string{
			`warning: route "a": no request matches it`,
		}},
		{[]string{"--configuration", write("service", strings.Replace(checkedConfiguration, `"s":{}`, "", 1))}, 1, []string{
			`error: route "a": no service "s"`, "would refuse it",
		}},
		{[]string{"--configuration", filepath.Join(folder, "none")}, 1, []string{"no such file"}},
		{[]string{"--configuration", next, "--against", filepath.Join(folder, "none")}, 1, []string{"no such file"}},
		{[]string{"--configuration", next, "--config", next}, 1, []string{"none of the others can be"}},
		{[]string{"--configuration", next, "--server", "127.0.0.1:1"}, 1, []string{"token-file"}},
		{nil, 1, []string{"at least one of the flags"}},
	}
	for _, tt := range tests {
		t.Run(strings.Join(tt.args, " "), func(t *testing.T) {
			status, out := run(append([]string{"check"}, tt.args...)...)
			if status != tt.status {
				t.Errorf("status %d, want %d: %s", status, tt.status, out)
			}
			for _, want := range tt.want {
				if !strings.Contains(out, want) {
					t.Errorf("the output lacks %q: %s", want, out)
				}
			}
		})
	}
}

// TestCheckMissesVersionInForce guards against a comparison with another version than the one that the control hosts have in force.
func TestCheckMissesVersionInForce(t *testing.T) {
	fleet, err := runner.StartFleet(t.Context(), demoFleet(), t.TempDir(), zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	defer fleet.Kill()
	folder := t.TempDir()
	token, file := filepath.Join(folder, "token"), filepath.Join(folder, "next")
	args := []string{"check", "--configuration", file, "--token-file", token}
	o := adminOptions{tokenFile: token, output: "text", cobraCmd: newRoot()}
	o.cobraCmd.SetOut(io.Discard)
	for _, c := range fleet.Controls {
		o.servers = append(o.servers, c.Settings.GetAddress())
		args = append(args, "--server", c.Settings.GetAddress())
	}
	for name, text := range map[string]string{token: fleet.OperatorToken, file: checkedConfiguration} {
		if err := os.WriteFile(name, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	if status, out := run(args...); status != 1 || !strings.Contains(out, "it replaces version 1, and version 0 is in force") {
		t.Errorf("before the first configuration: %d %s", status, out)
	}
	first := strings.NewReplacer("r1", "r0", "r2", "r1", `"timeoutS":1`, `"timeoutS":2`).Replace(checkedConfiguration)
	c, err := platform.ReadConfiguration([]byte(first))
	if err != nil {
		t.Fatal(err)
	}
	replace := &schema.Command{Change: &schema.Command_ReplaceConfiguration{ReplaceConfiguration: c}}
	if err := o.change(replace, func(*schema.Result) string { return "" }); err != nil {
		t.Fatal(err)
	}
	if status, out := run(args...); status != 0 || !strings.Contains(out, `change: route "a": timeout: 1s, was 2s`) {
		t.Errorf("with the first configuration: %d %s", status, out)
	}
}
