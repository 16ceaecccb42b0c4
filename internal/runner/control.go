package runner

import (
	"context"
	"net/netip"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"
	"gopkg.in/tomb.v2"

	"github.com/lavenderhub/lavenderhub/internal/controller"
	"github.com/lavenderhub/lavenderhub/internal/dialer"
	"github.com/lavenderhub/lavenderhub/internal/pipeliner"
	"github.com/lavenderhub/lavenderhub/platform"
	"github.com/lavenderhub/lavenderhub/schema"
)

// controlStopLimit is the longest time that a stopping control host waits for calls in progress.
const controlStopLimit = 2 * time.Second

// Control is a running control host.
type Control struct {
	Base
	cfg        *schema.ControlSettings
	tomb       tomb.Tomb
	pool       *dialer.Pool
	server     *dialer.Server
	controller *controller.Controller
}

// StartControl starts a control host. If b.Clock is set, the control host uses it in place of b.Timer.
func StartControl(b Base, cfg *schema.ControlSettings, operatorToken string) (*Control, error) {
	addr, err := netip.ParseAddrPort(cfg.GetAddress())
	if err != nil {
		return nil, errors.Wrapf(err, "address %q", cfg.GetAddress())
	}
	if b.Clock != nil {
		b.Timer = b.Clock
	}
	c := &Control{Base: b, cfg: cfg, pool: dialer.NewPool(b.Security, b.Timer, dialer.WithDial(b.Dial))}
	c.controller, err = controller.New(controller.Parts{
		Settings: cfg, Timer: b.Timer, Log: b.Log, Assert: b.Assert, Registry: b.Registry, Pool: c.pool,
		OperatorToken: operatorToken, FleetToken: b.FleetToken,
	})
	if err != nil {
		return nil, err
	}
	c.controller.Run()
	handler := c.controller.Handler()
	if cfg.GetFace() == schema.Face_FACE_PLATFORM {
		handler = platform.NewOperatorHandler(c.controller, b.Log, handler)
	}
	handler = dialer.BufferBodies(b.Budget, dialer.MaxMessageBytes, handler)
	limits := pipeliner.WithLimits(b.Budget, maxConnections())
	if c.server, err = b.Security.ListenAndServe(&c.tomb, addr, dialer.Operators, handler, limits); err != nil {
		_ = c.controller.Kill()
		return nil, err
	}
	b.Log.Info("controlStarted", zap.String("control", cfg.GetName()),
		zap.String("failureDomain", cfg.GetFailureDomain()), zap.Stringer("address", c.server.Addr()))
	return c, nil
}

// Address returns the address that the control host listens on.
func (c *Control) Address() netip.AddrPort {
	return c.server.Addr()
}

// Status returns the status of the replica.
func (c *Control) Status(ctx context.Context) (*schema.StatusReply, error) {
	return c.controller.Status(ctx, &schema.StatusRequest{})
}

// Dead returns a channel that is closed when the replica has ended, either on request or because of an error.
func (c *Control) Dead() <-chan struct{} {
	return c.controller.Dead()
}

// Err returns the error that ended the replica. It is nil after Stop or Kill, and tomb.ErrStillAlive before the end.
func (c *Control) Err() error {
	return c.controller.Err()
}

// Stop transfers leadership to another control host if possible, stops the replica and waits for calls in progress.
func (c *Control) Stop() error {
	ctx, cancel := context.WithTimeout(context.Background(), controlStopLimit)
	defer cancel()
	err := c.controller.Stop()
	// Idle keep-alive connections of other processes can delay a graceful shutdown until its deadline. No call is in
	// progress by then, so they can be closed.
	if c.server.Shutdown(ctx) != nil {
		_ = c.server.Close()
	}
	return c.release(err)
}

// Kill stops the replica immediately, as a crash would.
func (c *Control) Kill() error {
	_ = c.server.Close()
	return c.release(c.controller.Kill())
}

// release waits for the goroutines, closes the connection pool and returns the first error.
func (c *Control) release(err error) error {
	c.tomb.Kill(nil)
	if tombErr := c.tomb.Wait(); err == nil {
		err = tombErr
	}
	c.pool.Close()
	c.Log.Info("controlStopped", zap.String("control", c.cfg.GetName()))
	return err
}
