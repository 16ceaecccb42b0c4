package main

import (
	"time"
)

func init() { cases["quorum"] = runQuorum }

// runQuorum checks that an acknowledged configuration can be read back after a host lost its disk, the leader was killed, and after
// the first host's repair a second one lost its disk.
func runQuorum(layOut func(int, ...string) (*fleet, error), rec *record, trouble bool) (bool, error) {
	f, err := layOut(4, "front", "front")
	if err != nil {
		return false, err
	}
	if err := f.startAll(); err != nil {
		return false, err
	}
	var workers []*worker
	for i, m := range f.nodes {
		w, err := newWorker(m, []string{"i-1", "i-2"}[i])
		if err != nil {
			return false, err
		}
		defer w.close()
		w.beatAlways()
		workers = append(workers, w)
	}
	routes := []routeSpec{{"r-a", "/read/", "idempotent", "front"}}
	services := []string{"front"}
	o := newOperator(f)
	if _, ok := o.replace(configuration(1, 0, services, routes), "r1", 15*time.Second); !ok {
		return false, errNoStart
	}
	time.Sleep(8 * time.Second)
	before := serveFor(f, rec, 2*time.Second, "before the trouble")
	a, ok := o.replace(configuration(2, 1, services, routes), "r2", 5*time.Second)
	if !ok || before == 0 {
		return false, errNoStart
	}
	if trouble {
		if err := loseTwoInTurn(f, o, a.host); err != nil {
			return false, err
		}
	}
	rec.add("all machines are back")
	time.Sleep(recoveryS * time.Second)
	serveFor(f, rec, 3*time.Second, "after the time for recovery")
	version, _, ok := o.read(3 * contactS * time.Second)
	if ok && version != "r2" {
		rec.add("the configuration read back is %s", version)
	}
	_, accepted := o.replace(configuration(3, 2, services, routes), "r3", 5*time.Second)
	rec.add("read back: %v, further change accepted: %v", ok, accepted)
	return !ok || version != "r2", nil
}

// loseTwoInTurn makes two hosts lose their disks, one after the other: the one that has just acknowledged a change, and later the
// one that was killed while it led. No time passes in which two disks are lost: the first host is back for more than catchUpS by then.
func loseTwoInTurn(f *fleet, o *operator, acknowledged string) error {
	start := time.Now()
	at := func(d time.Duration) { time.Sleep(time.Until(start.Add(d))) }
	first := f.machineAt(acknowledged)
	first.kill()
	if err := first.wipe(); err != nil {
		return err
	}
	at(restartPause)
	if err := first.start(); err != nil {
		return err
	}
	at(2200 * time.Millisecond)
	_, a, ok := o.read(2 * time.Second)
	if !ok {
		return errNoLeader
	}
	second := f.machineAt(a.host)
	second.kill()
	time.Sleep(restartPause)
	if err := second.start(); err != nil {
		return err
	}
	at(restartPause + catchUpS*time.Second + 300*time.Millisecond)
	second.kill()
	if err := second.wipe(); err != nil {
		return err
	}
	time.Sleep(restartPause)
	return second.start()
}

// serveFor sends requests through all nodes in turn and returns how many were served.
func serveFor(f *fleet, rec *record, d time.Duration, label string) int {
	end := time.Now().Add(d)
	sent, served := 0, 0
	statuses := map[int]int{}
	for time.Now().Before(end) {
		r := send(f.nodes[sent%len(f.nodes)], "GET", "/read/", nil)
		sent++
		statuses[r.status]++
		if r.isServed() {
			served++
		}
		time.Sleep(20 * time.Millisecond)
	}
	rec.add("%s: %d of %d requests served, statuses %v", label, served, sent, statuses)
	return served
}
