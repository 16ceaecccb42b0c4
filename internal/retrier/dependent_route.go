package retrier

import (
	"math"
	"time"
)

const (
	// dependentDecay is the time constant with which the counts of a route's responses decay. At two responses a second, the
	// fewest that an entry node sees of a route in the fleets of today, three affected ones in a row suffice.
	dependentDecay = 2 * time.Second
	// dependentMinAffected and dependentMinShare are the decayed number and the share of affected responses from which a route
	// counts as dependent. Both are above what the usual error rate of 0.004 gives on a route that only shares an upstream.
	dependentMinAffected = 1.5
	dependentMinShare    = 0.1
	// dependentLifetime is how long a route counts as dependent after its last affected response.
	dependentLifetime = 10 * time.Second
)

// RouteName identifies a route.
type RouteName struct {
	Service string
	Name    string
}

// dependentRoute is a route of which a response was affected by a congested service.
type dependentRoute struct {
	name      RouteName
	affected  float64
	responses float64
	at        time.Time
	until     time.Time
}

// record counts a response.
func (r *dependentRoute) record(affected bool, now time.Time) {
	if dt := now.Sub(r.at); dt > 0 {
		f := math.Exp(-dt.Seconds() / dependentDecay.Seconds())
		r.affected *= f
		r.responses *= f
		r.at = now
	}
	r.responses++
	if !affected {
		return
	}
	r.affected++
	if r.isDependent(now) || (r.affected >= dependentMinAffected && r.affected >= dependentMinShare*r.responses) {
		r.until = now.Add(dependentLifetime)
	}
}

// isDependent reports whether requests of the route lead to the congested service.
func (r *dependentRoute) isDependent(now time.Time) bool {
	return now.Before(r.until)
}
