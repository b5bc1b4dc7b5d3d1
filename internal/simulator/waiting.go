package simulator

import (
	"frostdock.example/frostdock/internal/agent"
	"frostdock.example/frostdock/internal/api"
	"frostdock.example/frostdock/internal/schema"
	"frostdock.example/frostdock/internal/units"
)

// free is what a machine has left.
type free struct {
	k               *worker
	cpus, gpus, mem float64
}

// waiting tells the checker which jobs wait beside a machine that has room for them.
func (w *World) waiting() {
	if w.Rules.Calm == 0 || w.now < w.Rules.Calm {
		return
	}
	var room []free
	held := map[string]bool{} // tasks that are on some machine, or wait for their image there
	for _, name := range w.names {
		k := w.workers[name]
		if k == nil {
			continue
		}
		f := free{k, k.t.CPUs, k.t.GPUs, k.t.MemGB}
		for _, t := range k.sorted() {
			if t.state != agent.Ended {
				s := &w.users.job(t.job).spec
				f.cpus, f.gpus, f.mem = f.cpus-s.CPUs, f.gpus-s.GPUs, f.mem-s.MemGB
				held[t.id()] = true
			}
		}
		if k.up && w.now >= k.hungTo && !k.sick && k.notice == nil {
			room = append(room, f)
		}
	}
	for _, j := range w.users.sorted() {
		on := w.besideRoom(j, room, held)
		w.Rules.Waits(j.spec.ID, on, on != "")
	}
}

// besideRoom names a machine that could take a task of the job that waits.
func (w *World) besideRoom(j *userJob, room []free, held map[string]bool) string {
	s := &j.spec
	if c := w.Rules.jobs[s.ID]; w.Rules.readyAt(c) < 0 || w.Rules.toldCancelled(c) > 0 {
		return "" // it waits for other jobs, or is cancelled with one
	}
	if j.accepted == 0 || j.abort || j.broken || j.denied > 0 || !w.waits(j, held) {
		return ""
	}
	if u := w.Rules.use[s.Team]; u != nil {
		if lim := w.Rules.limits[s.Team]; lim > 0 && u.cpus+s.CPUs > lim+1e-6 {
			return ""
		}
		if lim := w.Rules.gpuLimit[s.Team]; lim > 0 && u.gpus+s.GPUs > lim+1e-6 {
			return ""
		}
	}
	for _, f := range room {
		if f.cpus >= s.CPUs && f.gpus >= s.GPUs && f.mem >= s.MemGB && api.TypeAllowed(s, f.k.l.Type) &&
			(s.Spot || !f.k.l.Spot) && (s.Zone == "" || s.Zone == f.k.l.Zone) && w.zoneOpen(s, f.k.l.Zone) {
			return f.k.name
		}
	}
	return ""
}

// waits reports whether a task of the job is neither done nor on any machine.
func (w *World) waits(j *userJob, held map[string]bool) bool {
	for n := range j.spec.Tasks {
		if t := (&task{job: j.spec.ID, num: n}).id(); !held[t] && !w.Rules.IsDone(j.spec.ID, n) {
			return true
		}
	}
	return false
}

// zoneOpen reports whether one more task of the job may be in the zone.
func (w *World) zoneOpen(s *schema.Job, zone string) bool {
	same := 0
	for _, m := range w.Rules.machinesOf(s.ID) {
		if w.Rules.where[m].Zone == zone {
			same++
		} else if s.OneZone {
			return false
		}
	}
	return !s.Spread || same+1 <= (s.Tasks+1)/2
}

// waitEvery is how often that is looked at.
const waitEvery = 5 * units.Second
