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

// adminTimeout bounds one admin command, with all its tries.
const adminTimeout = 15 * time.Second

var cmdAdmin = command{
	name:    "admin",
	short:   "Administer a fleet",
	example: "  lavenderhub admin account list --server 127.0.0.1:9001 --token-file operator-token",
}

// adminOptions are the flags that all admin commands share.
type adminOptions struct {
	servers   []string
	addresses []netip.AddrPort
	tokenFile string
	authority string
	output    string
	requestID string
	ifVersion uint64
	out       io.Writer
	flags     *cobra.Command
}

// adminFlags declares the shared flags.
func adminFlags(c *cobra.Command) *adminOptions {
	o := &adminOptions{flags: c}
	c.Flags().StringArrayVar(&o.servers, "server", nil, "address of a control host; may be repeated")
	c.Flags().StringVar(&o.tokenFile, "token-file", "", "file that holds the operator token")
	c.Flags().StringVar(&o.authority, "authority-file", "", "certificates of the fleet's authority; with it connections use TLS")
	c.Flags().StringVar(&o.output, "output", "text", "form of the result: text or json")
	_ = c.MarkFlagRequired("server")
	_ = c.MarkFlagRequired("token-file")
	return o
}

// changeFlags declares the shared flags of commands that change something.
func changeFlags(c *cobra.Command) *adminOptions {
	o := adminFlags(c)
	c.Flags().StringVar(&o.requestID, "request-id", "", "number of the change; a repeat with the same number returns the first result")
	c.Flags().Uint64Var(&o.ifVersion, "if-version", 0, "version that the branch must have, or the change is refused")
	return o
}

// connect returns a client of the fleet. Forms are those that the result can take.
func (o *adminOptions) connect(forms ...string) (*runner.Operator, error) {
	if !slices.Contains(forms, o.output) {
		return nil, errors.Errorf("bad output %q, want %s", o.output, strings.Join(forms, " or "))
	}
	token, err := os.ReadFile(o.tokenFile)
	if err != nil {
		return nil, errors.Wrap(err, "read operator token")
	}
	o.out = o.flags.OutOrStdout()
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

// change sends a command and prints its result. A result other than success is an error.
func (o *adminOptions) change(cmd *schema.Command, text func(*schema.Result) string) error {
	op, err := o.connect("text", "json")
	if err != nil {
		return err
	}
	cmd.RequestId = o.requestID
	if o.flags.Flags().Changed("if-version") {
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
	return o.print(result, text(result))
}

// resultMessage says why a change was refused, with the current value on a conflict.
func resultMessage(r *schema.Result) string {
	message := r.GetMessage()
	if r.GetStatus() == schema.ResultStatus_RESULT_STATUS_CONFLICT && r.GetBranch() != nil {
		message += "\n" + branchText(r.GetBranch())
	}
	return message
}

// read makes a call that changes nothing.
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

// print writes a message as JSON, or the text.
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
