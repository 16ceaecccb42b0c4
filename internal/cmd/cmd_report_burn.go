package cmd

import (
	"context"
	"io"
	"net/http"
	"net/netip"

	"github.com/spf13/cobra"
	"google.golang.org/protobuf/encoding/protojson"

	"github.com/lavenderhub/lavenderhub/internal/reporter"
	"github.com/lavenderhub/lavenderhub/internal/runner"
	"github.com/lavenderhub/lavenderhub/schema"
)

var cmdReport = command{
	name:    "report",
	short:   "Report on a fleet",
	example: "  lavenderhub report burn --server 127.0.0.1:9001 --token-file token",
}

var cmdReportBurn = command{
	name: "burn", parent: "report",
	short: "Show the error budget burn rates of services and client accounts, the lowest share of good requests first",
	example: "  lavenderhub report burn --server 127.0.0.1:9001 --token-file token\n" +
		"  lavenderhub report burn --server 127.0.0.1:9001 --token-file token --output html > burn.html",
	args: cobra.NoArgs,
	setup: func(c *cobra.Command) func([]string) error {
		o := addAdminFlags(c)
		c.Flags().Lookup("output").Usage = "output format: text, json or html"
		return func([]string) error { return o.burn() }
	},
}

// burn gets the list of nodes from the leader and the counts from each node, and prints the merged report.
func (o *adminOptions) burn() error {
	op, err := o.connect("text", "json", "html")
	if err != nil {
		return err
	}
	ctx, cancel := adminContext()
	defer cancel()
	var status *schema.StatusReply
	err = op.Read(ctx, func(ctx context.Context, a schema.Admin) (err error) {
		status, err = a.Status(ctx, &schema.StatusRequest{})
		if err == nil && !status.GetLeader() {
			return runner.NotLeaderError(status.GetLeaderAddress())
		}
		return err
	})
	if err != nil {
		return err
	}
	var reports []*schema.BurnReport
	var missing []string
	for _, n := range status.GetNodeList() {
		addr, err := netip.ParseAddrPort(n.GetAdminAddress())
		if err != nil {
			missing = append(missing, n.GetName()+": no admin address; set adminAddress in its settings")
			continue
		}
		nodeReport, err := fetchBurn(ctx, op, addr)
		if err != nil {
			missing = append(missing, n.GetName()+": "+err.Error())
			continue
		}
		reports = append(reports, nodeReport)
	}
	report := reporter.Merge(reports)
	report.Missing = missing
	return report.Write(o.out, o.output)
}

// fetchBurn gets the counts of the node with the given admin address.
func fetchBurn(ctx context.Context, op *runner.Operator, addr netip.AddrPort) (*schema.BurnReport, error) {
	peer := op.Peer(addr)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, peer.URL(reporter.Path), http.NoBody)
	if err != nil {
		return nil, err
	}
	resp, err := peer.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, err
	}
	report := &schema.BurnReport{}
	return report, protojson.Unmarshal(data, report)
}
