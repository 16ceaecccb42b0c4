package parser

import (
	"fmt"
	"testing"

	"github.com/cockroachdb/datadriven"
)

func TestParse(t *testing.T) {
	datadriven.RunTest(t, "testdata/parse", func(_ *testing.T, d *datadriven.TestData) string {
		cfg, err := Parse("s.jsonc", []byte(d.Input))
		if err != nil {
			return err.Error() + "\n"
		}
		n := cfg.GetNode()
		return fmt.Sprintf("node %s in %s, stop limit %s\n", n.GetName(), n.GetFailureDomain(), n.GetStopLimit().AsDuration())
	})
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"node": {"name": "n", "failureDomain": "d", "callerAddress": "127.0.0.1:1"}}`))
	f.Add([]byte(`{"fleet": {"services": [{"name": "a", "workers": [{"failureDomain": "d", "slots": 1, "serviceTime": "5ms"}]}]}, /**/}`))
	f.Add([]byte(`{"control": {"peers": [{"name": "a"}, {"name": "a"}]}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		cfg, err := Parse("s.jsonc", text)
		if (cfg == nil) == (err == nil) {
			t.Fatalf("cfg %v, err %v", cfg, err)
		}
		errs, ok := err.(Errors)
		if err != nil && (!ok || len(errs) == 0) {
			t.Fatalf("error is not a non-empty Errors: %v", err)
		}
		for _, e := range errs {
			if e.Line < 1 || e.Column < 1 {
				t.Fatalf("error without a position: %v", e)
			}
		}
	})
}
