package runner

import (
	"net/http"
	"time"

	"github.com/lavenderhub/lavenderhub/internal/admitter"
	"github.com/lavenderhub/lavenderhub/internal/announcer"
	"github.com/lavenderhub/lavenderhub/internal/dialer"
	"github.com/lavenderhub/lavenderhub/internal/exchanger"
	"github.com/lavenderhub/lavenderhub/internal/forwarder"
	"github.com/lavenderhub/lavenderhub/internal/pipeliner"
	"github.com/lavenderhub/lavenderhub/internal/prober"
	"github.com/lavenderhub/lavenderhub/platform"
	"github.com/lavenderhub/lavenderhub/schema"
)

const (
	// maxMissedHeartbeats is the number of consecutive heartbeats that an upstream may miss, since heartbeats can arrive
	// seconds late.
	maxMissedHeartbeats = 3
	// usableSlotShare is the share of an upstream's slots that the gate uses. Some upstreams slow down when nearly all
	// their slots are in use, and some block the connection of a request that they can't queue.
	usableSlotShare = 0.95
)

// face is a protocol adapter: it holds the parts of a node that depend on the protocol spoken with callers, upstreams and
// the platform.
type face struct {
	announcerOptions func(onChange func(), gate []admitter.Option) []announcer.Option
	forwarderOptions func() []forwarder.Option
	// listen starts the adapter's additional servers.
	listen        func(n *Node) error
	callerHandler func(n *Node) http.Handler
	// readHealth decodes the response to a health check of the local upstream. It is nil if the protocol has no health
	// checks.
	readHealth func(*http.Response) (prober.Health, bool)
	// expectsFaultyUpstreams tells from the platform's rules in force whether decisions adapt to the upstreams' responses.
	expectsFaultyUpstreams func(rules []string) bool
}

func newFace(cfg *schema.NodeSettings) face {
	if cfg.GetFace() == schema.Face_FACE_PLATFORM {
		return newPlatformFace(cfg)
	}
	return face{
		announcerOptions: func(onChange func(), gate []admitter.Option) []announcer.Option {
			return []announcer.Option{
				announcer.WithOnChange(onChange), announcer.WithGateOptions(gate...),
				announcer.WithPoolOptions(exchanger.WithMatch(forwarder.MatchRequest)),
			}
		},
		forwarderOptions: func() []forwarder.Option { return nil },
		listen:           func(*Node) error { return nil },
		callerHandler:    func(n *Node) http.Handler { return http.HandlerFunc(n.serveCaller) },

		expectsFaultyUpstreams: func([]string) bool { return false },
	}
}

func newPlatformFace(cfg *schema.NodeSettings) face {
	return face{
		announcerOptions: func(onChange func(), gate []admitter.Option) []announcer.Option {
			timeout := announcer.HeartbeatTimeout
			if d := cfg.GetHeartbeatInterval(); d != nil {
				timeout = max(timeout, d.AsDuration()*maxMissedHeartbeats+time.Second)
			}
			gate = append([]admitter.Option{admitter.WithUsableShare(usableSlotShare), admitter.WithStaticLimit()}, gate...)
			return []announcer.Option{
				announcer.WithOnChange(onChange), announcer.WithGateOptions(gate...), announcer.WithHeartbeatTimeout(timeout),
				announcer.WithPoolOptions(exchanger.WithMatch(platform.MatchRequest)),
			}
		},
		forwarderOptions: func() []forwarder.Option {
			return []forwarder.Option{forwarder.WithUpstreamProtocol(platform.UpstreamProtocol())}
		},
		listen:        listenPlatform,
		callerHandler: func(n *Node) http.Handler { return platform.NewIngress(n.forwarder) },
		readHealth:    platform.ReadHealth,

		expectsFaultyUpstreams: platform.ExpectsFaultyUpstreams,
	}
}

// listenPlatform starts the servers for heartbeats of the local upstream and for readiness checks of the node.
func listenPlatform(n *Node) error {
	for _, endpoint := range []struct {
		address string
		handler http.Handler
	}{
		{n.cfg.GetAnnounceAddress(), platform.NewHeartbeatHandler(n.announcer, n.cfg.GetService(), n.Log)},
		{n.cfg.GetReadyAddress(), platform.NewReadyHandler(n.IsReady)},
	} {
		ln, err := listen(endpoint.address)
		if err != nil {
			return err
		}
		n.faceServers = append(n.faceServers, n.Security.Serve(&n.tomb, ln, dialer.Callers, endpoint.handler,
			pipeliner.WithLimits(n.Budget, auxiliaryConnections)))
	}
	return nil
}
