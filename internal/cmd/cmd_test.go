package cmd

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/lavenderhub/lavenderhub/internal/runner"
)

// run executes a command line and returns its exit status and its combined output.
func run(args ...string) (int, string) {
	var out bytes.Buffer
	status := Run(args, &out, &out)
	return status, out.String()
}

func TestHelpHasExamples(t *testing.T) {
	for _, c := range commands {
		if c.example == "" || c.short == "" {
			t.Errorf("%s has no description or no example", fullName(c))
		}
		status, out := run(append(strings.Fields(fullName(c)), "--help")...)
		if status != 0 || !strings.Contains(out, "Examples:") {
			t.Errorf("%s --help: %d %s", fullName(c), status, out)
		}
	}
}

// TestDocs checks that the manual pages and the settings reference in docs match the output of the docs command.
func TestDocs(t *testing.T) {
	folder := t.TempDir()
	if status, out := run("docs", folder); status != 0 {
		t.Fatal(out)
	}
	files, err := filepath.Glob(folder + "/man/*.md")
	if err != nil || len(files) < len(commands) {
		t.Fatalf("%d pages, %v", len(files), err)
	}
	for _, file := range append(files, folder+"/SETTINGS.md") {
		name, _ := filepath.Rel(folder, file)
		want, _ := os.ReadFile(file)
		if got, err := os.ReadFile("../../docs/" + name); err != nil || string(got) != string(want) {
			t.Errorf("docs/%s is out of date; run make docs (%v)", name, err)
		}
	}
}

func TestCheck(t *testing.T) {
	file := filepath.Join(t.TempDir(), "s.jsonc")
	if err := os.WriteFile(file, []byte("{\n  \"colour\": 1\n}\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	status, out := run("check", "--config", file)
	if status != 1 || !strings.Contains(out, file+":2:3: unknown field \"colour\"") {
		t.Fatalf("%d %s", status, out)
	}
}

// TestAdmin runs the admin commands and report burn against a fleet in this process.
func TestAdmin(t *testing.T) {
	fleet, err := runner.StartFleet(t.Context(), demoFleet(), t.TempDir(), zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	defer fleet.Kill()
	tokenFile := filepath.Join(t.TempDir(), "token")
	if err := os.WriteFile(tokenFile, []byte(fleet.OperatorToken), 0o600); err != nil {
		t.Fatal(err)
	}
	shared := []string{"--token-file", tokenFile}
	for _, c := range fleet.Controls {
		shared = append(shared, "--server", c.Settings.GetAddress())
	}
	admin := func(line string) (int, string) {
		return run(append(strings.Fields("admin "+line), shared...)...)
	}
	steps := []struct {
		line   string
		status int
		want   string
	}{
		{"settings set group/schools rate=40 priority=9", 0, "group/schools version 1: rate=40 priority=9"},
		{"account create school --group schools burst=80 --request-id r1", 0, "account/school version 1: burst=80"},
		{"account create school --group schools burst=80 --request-id r1", 0, "account/school version 1: burst=80"},
		{"account create school --request-id r1", 1, "used for another command"},
		{"account create school", 1, "exists"},
		{"account show school", 0, "rate=40                      from group/schools"},
		{"account list", 0, "school group=schools rate=40 burst=80 priority=9"},
		{"account set school rate=60 --if-version 1", 0, "version 2: rate=60 burst=80"},
		{"account set school rate=70 --if-version 1", 1, "has version 2, not 1"},
		{"account set nobody rate=70", 1, "create the account first"},
		{"account set school rate=fast", 1, "want a number"},
		{"account set school speed=1", 1, "no setting"},
		{"settings unset account/school rate", 0, "version 3: burst=80"},
		{"settings get account/school --effective", 0, "rate=40"},
		{"settings set service/dictionary/route/editorial importance=6 idempotent=false", 0, "importance=6"},
		{"settings set service/dictionary/route/editorial importance=8", 1, "at most 7"},
		{"key issue school", 0, "lh_"},
		{"key issue nobody", 1, "no account"},
		{"key list school", 0, "works"},
		{"key withdraw k-none", 1, "no key"},
		{"domain list", 0, "domain-1 in use"},
		{"domain evacuate nowhere", 1, "no failure domain"},
		{"domain evacuate domain-2", 0, "domain-2 evacuated"},
		{"domain evacuate domain-2", 0, "domain-2 evacuated"},
		{"domain list", 0, "domain-2 evacuated"},
		{"domain restore domain-2", 0, "domain-2 in use"},
		{"control status", 0, "control-1"},
		{"control remove 12", 1, "no such replica"},
		{"control status --output html", 1, "want text or json"},
	}
	for _, s := range steps {
		if status, out := admin(s.line); status != s.status || !strings.Contains(out, s.want) {
			t.Fatalf("%s: %d %s", s.line, status, out)
		}
	}
	for range 20 {
		req, _ := http.NewRequest(http.MethodGet, "http://"+fleet.Workers[0].CallerAddr().String()+"/dictionary/a", http.NoBody)
		req.Header.Set("Authorization", "Bearer "+fleet.Keys[0].Key)
		resp, err := http.DefaultClient.Do(req)
		if err != nil || resp.StatusCode != http.StatusOK {
			t.Fatalf("%v %v", resp, err)
		}
		resp.Body.Close()
	}
	for format, want := range map[string]string{"text": "dictionary     demo", "json": `"good":20`, "html": "<svg"} {
		args := append([]string{"report", "burn", "--output", format}, shared...)
		if status, out := run(args...); status != 0 || !strings.Contains(out, want) || strings.Contains(out, "no answer") {
			t.Fatalf("report burn %s: %d %s", format, status, out)
		}
	}
	if _, out := admin("account list --output json"); !json.Valid([]byte(out)) {
		t.Fatalf("not JSON: %s", out)
	}
	if err := os.WriteFile(tokenFile, []byte("wrong"), 0o600); err != nil {
		t.Fatal(err)
	}
	if status, out := admin("account list"); status == 0 || !strings.Contains(out, "token") {
		t.Fatalf("admin command with a wrong token: %d %s", status, out)
	}
}

// startServe runs the serve command with a node that reaches no control host, and waits until it is up. While the node
// starts it calls whileStarting.
func startServe(t *testing.T, whileStarting func()) (adminURL string, ended <-chan error) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	admin := ln.Addr().String()
	_ = ln.Close()
	file, token := filepath.Join(t.TempDir(), "s.jsonc"), filepath.Join(t.TempDir(), "token")
	text := fmt.Sprintf(`{"trustedNetwork": true, "adminAddress": %q, "fleetTokenFile": %q, "terms": {"grace": "2s"}, "node": {
		"name": "n1", "failureDomain": "d1", "callerAddress": "127.0.0.1:0", "peerAddress": "127.0.0.1:0",
		"controlAddresses": ["127.0.0.1:1"]}}`, admin, token)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Mkfifo(token, 0o600); err != nil {
		t.Fatal(err)
	}
	result := make(chan error, 1)
	var group sync.WaitGroup
	group.Go(func() { result <- serve(file, "error") })
	t.Cleanup(group.Wait)
	// The open returns when the starting process reads its token.
	pipe, err := os.OpenFile(token, os.O_WRONLY, 0)
	if err != nil {
		t.Fatal(err)
	}
	whileStarting()
	if _, err := pipe.WriteString("token"); err != nil {
		t.Fatal(err)
	}
	_ = pipe.Close()
	url := "http://" + admin + "/lavenderhub/v1/"
	for deadline := time.Now().Add(10 * time.Second); statusOf(url+"healthz") != http.StatusOK; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the process did not start")
		}
	}
	return url, result
}

// raise sends a signal to the test process, in which the serve command runs.
func raise(t *testing.T, sig syscall.Signal) {
	t.Helper()
	if err := syscall.Kill(os.Getpid(), sig); err != nil {
		t.Fatal(err)
	}
	time.Sleep(200 * time.Millisecond)
}

func statusOf(url string) int {
	resp, err := http.Get(url)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// TestSecondTerminationKills sends SIGTERM to a process that is stopping.
func TestSecondTerminationKills(t *testing.T) {
	url, ended := startServe(t, func() {})
	for range 2 {
		raise(t, syscall.SIGTERM)
		if status := statusOf(url + "healthz"); status != http.StatusOK {
			t.Errorf("the stopping process answers %d, want 200 until its stop is complete", status)
		}
	}
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

// TestHangupKillsStartingProcess sends SIGHUP to a process that has not started to watch its settings.
func TestHangupKillsStartingProcess(t *testing.T) {
	_, ended := startServe(t, func() { raise(t, syscall.SIGHUP) })
	raise(t, syscall.SIGTERM)
	if err := <-ended; err != nil {
		t.Error(err)
	}
}
