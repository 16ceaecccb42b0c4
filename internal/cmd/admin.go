package cmd

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"
	"go.uber.org/zap"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"github.com/lavenderhub/lavenderhub/internal/dialer"
	"github.com/lavenderhub/lavenderhub/internal/runner"
	"github.com/lavenderhub/lavenderhub/internal/timer"
	"github.com/lavenderhub/lavenderhub/schema"
)

// adminTimeout limits the duration of an admin command, including its retries.
const adminTimeout = 15 * time.Second

var cmdAdmin = command{
	name:    "admin",
	short:   "Administer a fleet",
	example: "  lavenderhub admin account list --server 127.0.0.1:9001 --token-file operator-token",
}

// adminOptions holds the flags shared by the admin commands. The fields addresses and out are set by connect.
type adminOptions struct {
	servers   []string
	addresses []netip.AddrPort
	tokenFile string
	authority string
	output    string
	requestID string
	ifVersion uint64
	out       io.Writer
	cobraCmd  *cobra.Command
}

// addAdminFlags adds the flags shared by the admin commands.
func addAdminFlags(c *cobra.Command) *adminOptions {
	o := &adminOptions{cobraCmd: c}
	c.Flags().StringArrayVar(&o.servers, "server", nil, "address of a control host; may be repeated")
	c.Flags().StringVar(&o.tokenFile, "token-file", "", "file that contains the operator token")
	c.Flags().StringVar(&o.authority, "authority-file", "", "file with the fleet's CA certificates; if set, connections use TLS")
	c.Flags().StringVar(&o.output, "output", "text", "output format: text or json")
	_ = c.MarkFlagRequired("server")
	_ = c.MarkFlagRequired("token-file")
	return o
}

// addChangeFlags adds the flags shared by the admin commands that change state.
func addChangeFlags(c *cobra.Command) *adminOptions {
	o := addAdminFlags(c)
	c.Flags().StringVar(&o.requestID, "request-id", "", "id of the change; sending it again with the same id returns the first result")
	c.Flags().Uint64Var(&o.ifVersion, "if-version", 0, "refuse the change unless the branch has this version")
	return o
}

// connect validates the flags and returns a client of the control hosts. It returns an error if the output format is not
// one of formats.
func (o *adminOptions) connect(formats ...string) (*runner.Operator, error) {
	if !slices.Contains(formats, o.output) {
		return nil, errors.Errorf("bad output %q, want %s", o.output, strings.Join(formats, " or "))
	}
	token, err := os.ReadFile(o.tokenFile)
	if err != nil {
		return nil, errors.Wrap(err, "read operator token")
	}
	o.out = o.cobraCmd.OutOrStdout()
	t := timer.New()
	var tls *schema.TlsSettings
	if o.authority != "" {
		tls = &schema.TlsSettings{AuthorityFile: o.authority}
	}
	security, err := dialer.NewSecurity(tls, t, zap.NewNop())
	if err != nil {
		return nil, err
	}
	if err := o.parseServers(); err != nil {
		return nil, err
	}
	base := runner.Base{Timer: t, Log: zap.NewNop(), Security: security}
	return runner.NewOperator(base, o.addresses, strings.TrimSpace(string(token))), nil
}

func (o *adminOptions) parseServers() error {
	o.addresses = nil
	for _, s := range o.servers {
		addr, err := netip.ParseAddrPort(s)
		if err != nil {
			return errors.Errorf("bad server %q, want an IP address and a port", s)
		}
		o.addresses = append(o.addresses, addr)
	}
	return nil
}

// change sends a command and prints its result, which format renders as text. It returns an error if the command is
// refused.
func (o *adminOptions) change(cmd *schema.Command, format func(*schema.Result) string) error {
	op, err := o.connect("text", "json")
	if err != nil {
		return err
	}
	cmd.RequestId = o.requestID
	if o.cobraCmd.Flags().Changed("if-version") {
		cmd.IfVersion = proto.Uint64(o.ifVersion)
	}
	ctx, cancel := adminContext()
	defer cancel()
	result, err := op.Change(ctx, cmd)
	if err != nil {
		return err
	}
	if result.GetStatus() != schema.ResultStatus_RESULT_STATUS_OK {
		if o.output == "json" {
			_ = o.print(result, "")
		}
		return errors.New(resultMessage(result))
	}
	return o.print(result, format(result))
}

// resultMessage returns the reason for a refused change. On a version conflict it includes the current branch.
func resultMessage(r *schema.Result) string {
	message := r.GetMessage()
	if r.GetStatus() == schema.ResultStatus_RESULT_STATUS_CONFLICT && r.GetBranch() != nil {
		message += "\n" + formatBranch(r.GetBranch())
	}
	return message
}

// read makes a read-only call to the leader.
func (o *adminOptions) read(call func(context.Context, schema.Admin) error) error {
	op, err := o.connect("text", "json")
	if err != nil {
		return err
	}
	ctx, cancel := adminContext()
	defer cancel()
	return op.Read(ctx, call)
}

func adminContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), adminTimeout)
}

// print writes the text or, if the output format is json, the message.
func (o *adminOptions) print(m proto.Message, text string) error {
	if o.output == "text" {
		_, err := fmt.Fprint(o.out, text)
		return err
	}
	data, err := protojson.Marshal(m)
	if err != nil {
		return errors.Wrap(err, "encode result")
	}
	_, err = fmt.Fprintln(o.out, string(data))
	return err
}
