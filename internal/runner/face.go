package runner

import (
	"net/http"
	"time"

	"github.com/lavenderhub/lavenderhub/internal/admitter"
	"github.com/lavenderhub/lavenderhub/internal/announcer"
	"github.com/lavenderhub/lavenderhub/internal/dialer"
	"github.com/lavenderhub/lavenderhub/internal/exchanger"
	"github.com/lavenderhub/lavenderhub/internal/forwarder"
	"github.com/lavenderhub/lavenderhub/internal/prober"
	"github.com/lavenderhub/lavenderhub/platform"
	"github.com/lavenderhub/lavenderhub/schema"
)

const (
	// heartbeatsLost is how many heartbeats in a row an upstream may miss: they may arrive late by seconds.
	heartbeatsLost = 3
	// usableSlots is the part of its slots that an upstream is given: some slow down when they are nearly full, and some
	// block the connection of a request that they can't queue.
	usableSlots = 0.95
)

// face is what differs in a node by the messages that it speaks towards the outside.
type face struct {
	announcerOptions func(onChange func(), gate []admitter.Option) []announcer.Option
	forwarderOptions func() []forwarder.Option
	// open starts what listens on addresses of its own.
	open    func(n *Node) error
	callers func(n *Node) http.Handler
	// health decodes the answer of the own upstream's health check; nil when there is none.
	health func(*http.Response) (prober.Health, bool)
}

func faceOf(cfg *schema.NodeSettings) face {
	if cfg.GetFace() == schema.Face_FACE_PLATFORM {
		return platformFace(cfg)
	}
	return face{
		announcerOptions: func(onChange func(), gate []admitter.Option) []announcer.Option {
			return []announcer.Option{announcer.WithOnChange(onChange), announcer.WithGateOptions(gate...)}
		},
		forwarderOptions: func() []forwarder.Option { return nil },
		open:             func(*Node) error { return nil },
		callers:          func(n *Node) http.Handler { return http.HandlerFunc(n.serveCaller) },
	}
}

func platformFace(cfg *schema.NodeSettings) face {
	return face{
		announcerOptions: func(onChange func(), gate []admitter.Option) []announcer.Option {
			lifetime := announcer.HeartbeatTimeout
			if d := cfg.GetHeartbeatInterval(); d != nil {
				lifetime = max(lifetime, d.AsDuration()*heartbeatsLost+time.Second)
			}
			gate = append([]admitter.Option{admitter.WithUsableShare(usableSlots), admitter.WithStaticLimit()}, gate...)
			return []announcer.Option{
				announcer.WithOnChange(onChange), announcer.WithGateOptions(gate...), announcer.WithHeartbeatTimeout(lifetime),
				announcer.WithPoolOptions(exchanger.WithMatch(platform.IsOwn)),
			}
		},
		forwarderOptions: func() []forwarder.Option {
			return []forwarder.Option{forwarder.WithUpstreamProtocol(platform.Dialect())}
		},
		open:    openPlatform,
		callers: func(n *Node) http.Handler { return platform.NewIngress(n.forwarder) },
		health:  platform.ReadHealth,
	}
}

// openPlatform listens for heartbeats of the own upstream and for questions whether the node is ready.
func openPlatform(n *Node) error {
	for _, part := range []struct {
		address string
		handler http.Handler
	}{
		{n.cfg.GetAnnounceAddress(), platform.NewHeartbeats(n.announcer, n.cfg.GetService(), n.Log)},
		{n.cfg.GetReadyAddress(), platform.NewReady(n.IsReady)},
	} {
		ln, err := open(part.address)
		if err != nil {
			return err
		}
		n.extra = append(n.extra, n.Security.Serve(&n.tomb, ln, dialer.Callers, part.handler))
	}
	return nil
}
