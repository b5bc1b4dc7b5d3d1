package simulator

import (
	"fmt"
	"sort"

	"frostdock.example/frostdock/internal/cloud"
	"frostdock.example/frostdock/internal/controller"
	"frostdock.example/frostdock/internal/units"
)

// cloud rents machines.
type cloudService struct {
	w     *World
	types []cloud.Type
	left  map[string]int // offers: type/zone/spot -> machines still to be had
	hires map[string][]string
	rows  map[string]*row
	next  int
	down  bool
	past  []snapshot
	lag   units.Micros
	boot  float64 // how many times longer machines take to come up
	fail  float64 // chance that a machine never comes up
}

type row struct {
	l    cloud.Listed
	born units.Micros
}

type snapshot struct {
	at   units.Micros
	rows []cloud.Listed
}

func newCloud(w *World) *cloudService {
	c := &cloudService{w: w, left: map[string]int{}, hires: map[string][]string{}, rows: map[string]*row{}, lag: 8 * units.Second, boot: 1}
	w.every(units.Second, c.snap)
	return c
}

func offer(typ, zone string, spot bool) string { return fmt.Sprintf("%s/%s/%v", typ, zone, spot) }

func (c *cloudService) typ(name string) *cloud.Type {
	for i := range c.types {
		if c.types[i].Name == name {
			return &c.types[i]
		}
	}
	return nil
}

// snap remembers the list, which is shown late.
func (c *cloudService) snap() {
	s := snapshot{at: c.w.now}
	for _, r := range c.rows {
		l := r.l
		l.AgeS = (c.w.now - r.born).Seconds()
		s.rows = append(s.rows, l)
	}
	sort.Slice(s.rows, func(a, b int) bool { return s.rows[a].Name < s.rows[b].Name })
	c.past = append(c.past, s)
	if len(c.past) > 60 {
		c.past = c.past[1:]
	}
}

func (c *cloudService) from(node string, e controller.CloudCall, done func(controller.CloudDone)) {
	call(c.w, node, "cloud", 5*units.Second, func(answer func(controller.CloudDone)) {
		d := controller.CloudDone{Status: 200}
		if c.down {
			d.Status = 503
			answer(d)
			return
		}
		switch e.Op {
		case controller.CloudCatalog:
			d.Catalog.Types = c.types
		case controller.CloudHire:
			d.Names.Machines, d.Status = c.hire(e.Hire)
		case controller.CloudDelete:
			for _, n := range e.Names.Machines {
				c.remove(n)
			}
		case controller.CloudList:
			at := c.w.now - c.lag
			if c.w.rng.Float64() < 0.1 {
				at -= c.lag
			}
			var s snapshot
			for _, x := range c.past {
				if x.at <= at {
					s = x
				}
			}
			d.Page.Machines = s.rows
		}
		answer(d)
	}, func(d controller.CloudDone, ok bool) {
		if !ok {
			d = controller.CloudDone{}
		}
		d.ID = e.ID
		done(d)
	})
}

func (c *cloudService) hire(h cloud.Hire) ([]string, int) {
	if names, ok := c.hires[h.Name]; ok {
		return names, 200
	}
	key := offer(h.Type, h.Zone, h.Spot)
	n := min(h.Count, c.left[key])
	t := c.typ(h.Type)
	if t == nil || h.Count < 1 || h.Count > 50 {
		return nil, 400
	}
	if n == 0 {
		return nil, 503
	}
	c.left[key] -= n
	var names []string
	for range n {
		name := c.create(h.Type, h.Zone, h.Spot)
		names = append(names, name)
		if c.w.rng.Float64() < c.fail {
			continue
		}
		boot := units.FromSeconds(t.BootS * (0.6 + 0.9*c.w.rng.Float64()) * c.boot)
		c.w.after(boot, func() { c.up(name) })
	}
	c.hires[h.Name] = names
	return names, 200
}

func (c *cloudService) create(typ, zone string, spot bool) string {
	name := fmt.Sprintf("n-%06d", c.next)
	c.next++
	c.rows[name] = &row{l: cloud.Listed{Name: name, Addr: name + ":9000", Type: typ, Zone: zone, Spot: spot, State: cloud.Starting}, born: c.w.now}
	return name
}

func (c *cloudService) up(name string) {
	r := c.rows[name]
	if r == nil {
		return
	}
	r.l.State = cloud.Running
	c.w.addWorker(name, r.l, c.typ(r.l.Type))
}

// remove takes a machine away at once, with all that is on it.
func (c *cloudService) remove(name string) {
	if r := c.rows[name]; r != nil {
		c.left[offer(r.l.Type, r.l.Zone, r.l.Spot)]++
		delete(c.rows, name)
	}
	c.w.removeWorker(name)
}

// die stops a machine; the list shows it as running for a while.
func (c *cloudService) die(name string) {
	c.w.removeWorker(name)
	c.w.after(30*units.Second, func() {
		if r := c.rows[name]; r != nil {
			r.l.State = cloud.Failed
		}
	})
}
