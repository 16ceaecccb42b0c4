package admitter

// LoadReport is what an upstream reports about its load in a response. It may be wrong.
type LoadReport struct {
	// Running, Waiting and Slots are numbers of requests.
	Running int
	Waiting int
	Slots   int
	// Slowdown is how long work takes on the upstream's host at present, relative to the usual time. It is valid only if
	// HasSlowdown is set.
	Slowdown    float64
	HasSlowdown bool
}

// AdaptiveMode tells when a gate's decisions adapt to what the upstream's responses show.
type AdaptiveMode int

// Values of AdaptiveMode.
const (
	// AdaptiveAuto means once an upstream of the fleet has reported a slowdown of its host.
	AdaptiveAuto AdaptiveMode = iota
	// AdaptiveOn means always.
	AdaptiveOn
	// AdaptiveOff means never, and that the gate does not report its congestion either.
	AdaptiveOff
)

// WithAdaptiveMode sets when the gate's decisions adapt to what the upstream's responses show. The default is AdaptiveAuto.
func WithAdaptiveMode(m AdaptiveMode) Option {
	return func(g *Gate) { g.adaptive = m }
}

// WithSharedHosts sets a function that reports whether an upstream of another node has reported a slowdown of its host.
func WithSharedHosts(shared func() bool) Option {
	return func(g *Gate) { g.sharedHosts = shared }
}

// RecordLoad records the load that the upstream reported in a response.
func (g *Gate) RecordLoad(r LoadReport) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.reportsSlowdown = g.reportsSlowdown || r.HasSlowdown
	if r.HasSlowdown {
		g.learned.slowdowns.record(r.Slowdown, g.timer.Now())
	}
}

// IsAdaptive reports whether the gate's decisions adapt to what the upstream's responses show.
func (g *Gate) IsAdaptive() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.isAdaptive()
}

func (g *Gate) isAdaptive() bool {
	switch g.adaptive {
	case AdaptiveOn:
		return true
	case AdaptiveOff:
		return false
	default:
		return g.reportsSlowdown || g.sharedHosts()
	}
}

// reportsCongestion reports whether the gate takes part in the control of requests whose calls lead to a full service. Unlike the
// other adaptive decisions it needs nothing that only some upstreams report.
func (g *Gate) reportsCongestion() bool {
	return g.adaptive != AdaptiveOff
}

// ReportsSlowdown reports whether the upstream has reported a slowdown of its host.
func (g *Gate) ReportsSlowdown() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.reportsSlowdown
}
