// Package state owns what frostdock keeps in the state service: the layout of
// its keys, the documents, the wire messages and the client.
//
// Changes are scarce, so documents are shared: a change of many machines or
// jobs costs as many writes as there are documents that it touches.
//
// Layout:
//
//	k/a/0             over how many documents machines and jobs are spread, and in which format
//	k/a/n/MEMBER/INC  a living process and the format that it knows (removed with its lease)
//	k/a/p/N           partition N: owner and epoch; its stamp guards every write of the owner
//	k/a/g/N           machine shard N: partition, and for each machine all tasks that may be on it
//	k/a/j/N           job shard N: some accepted jobs; a job's id says in which shard it stands
//	k/a/d/P/N         progress of some jobs of partition P's teams: the tasks that are done, as ranges
//	k/a/x/JOB         mark of a cancelled job that is not yet cleared away
//	k/a/b             the first machine that was rented
//	k/f/JOB           the job's end. Whoever writes it first decides: done or cancelled
package schema

import (
	"cmp"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"slices"
	"sort"
	"strconv"
	"strings"
)

// Prefixes of the layout.
const (
	Root          = "k/"
	Active        = "k/a/"
	LayoutOf      = "k/a/0" // before all other keys under Active, so that it is read first
	Nodes         = "k/a/n/"
	Parts         = "k/a/p/"
	MachineShards = "k/a/g/"
	JobShards     = "k/a/j/"
	Progress      = "k/a/d/"
	Cancels       = "k/a/x/"
	Base          = "k/a/b"
	Finals        = "k/f/"
)

// MachineSpread is how many documents the machines are spread over. It follows from how large a
// value may be, so that a thousand machines with eight tasks each fill a third of what
// there is; and from how many CPUs all teams together may use at once, 0 if that is not
// limited: where fewer documents hold all that can run, each change tells of more machines,
// and freed places wait for a shorter time.
func MachineSpread(valueKB, mostCPUs float64) int {
	spread := widestSpread(valueKB)
	if mostCPUs <= 0 {
		return spread
	}
	fill := valueKB * 1024 * 2 / 3
	for spread/2 >= narrowestSpread && float64(spread/2)*fill >= mostCPUs*bytesPerCPU {
		spread /= 2
	}
	return spread
}

const (
	// narrowestSpread keeps the controllers from meeting at the same documents all the time.
	narrowestSpread = 12
	// bytesPerCPU is what a CPU in use costs in a machine shard, not deflated: tasks of two CPUs and
	// 16 bytes, and machines of 16 CPUs and 48 bytes.
	bytesPerCPU = 11
)

func widestSpread(valueKB float64) int { return max(8, min(256, int(384/valueKB))) }

// JobSpread is how many documents the jobs are spread over: few, so that one change
// accepts as many as it can while submissions come at once, but enough that the
// controllers seldom meet at one.
func JobSpread(valueKB float64) int { return max(24, widestSpread(valueKB)/2) }

// Layout says over how many documents machines and jobs are spread. The first controller
// of a new store writes it, and it stays: the settings that it follows from may change while
// the documents are there, and two controllers that count differently would not find each
// other's machines.
type Layout struct {
	Groups  int
	Shelves int
	Format  int // of the documents in the store: FormatBefore until all members know a later one
}

// Formats of the documents. A process announces the latest that it knows in its registration.
const (
	FormatBefore = 0 // jobs without needs, documents that are never split
	FormatChains = 1 // jobs may need others, documents may be split
)

// layoutDoc is a Layout as stored. From FormatChains on the numbers stand under other names:
// a process of an earlier version that is started after all finds none, never finishes to load,
// and so does no harm.
type layoutDoc struct {
	GroupsBefore  int `json:"g"`
	ShelvesBefore int `json:"j"`
	Format        int `json:"format,omitempty"`
	Groups        int `json:"groups,omitempty"`
	Shelves       int `json:"shelves,omitempty"`
}

// MarshalJSON writes the form that belongs to the format.
func (l Layout) MarshalJSON() ([]byte, error) {
	if l.Format == FormatBefore {
		return json.Marshal(layoutDoc{GroupsBefore: l.Groups, ShelvesBefore: l.Shelves})
	}
	return json.Marshal(layoutDoc{Format: l.Format, Groups: l.Groups, Shelves: l.Shelves})
}

// UnmarshalJSON reads either form.
func (l *Layout) UnmarshalJSON(raw []byte) error {
	var doc layoutDoc
	if err := json.Unmarshal(raw, &doc); err != nil {
		return fmt.Errorf("layout: %w", err)
	}
	*l = Layout{Groups: doc.Groups, Shelves: doc.Shelves, Format: doc.Format}
	if doc.Format == FormatBefore {
		l.Groups, l.Shelves = doc.GroupsBefore, doc.ShelvesBefore
	}
	return nil
}

// Registration is a process's entry in the list of the living.
type Registration struct {
	Incarnation string `json:"w"`
	Format      int    `json:"f,omitempty"` // the latest that it knows
}

// LayoutFor is the layout of a new store.
func LayoutFor(valueKB, mostCPUs float64) Layout {
	return Layout{Groups: MachineSpread(valueKB, mostCPUs), Shelves: JobSpread(valueKB)}
}

// LayoutBefore is the layout of a store that was written before layouts were.
func LayoutBefore(valueKB float64) Layout {
	return Layout{Groups: widestSpread(valueKB), Shelves: JobSpread(valueKB)}
}

// MachineShardOf is the machine shard that a machine stands in. Names are numbered in order of
// creation, so machines of one type, rented together, end up in many machine shards.
func MachineShardOf(machine string, groups int) int { return number(machine) % groups }

// JobShardOf is the job shard that a job stands on.
func JobShardOf(job string, shelves int) int { return number(job) % shelves }

// Splitting. A document that is one of m, by the remainder of the names' numbers, is split in
// k by writing it and k-1 new ones, each as one of m*k: the number n becomes n, n+m, n+2m and
// so on. Every document says of how many it is one: a name stands in the document whose number
// is the remainder by that. Siblings may have been split differently.

// Shard finds the document in which a name stands. layout is how many documents there were at
// first, levels are the other numbers of which some document says that it is one, the largest
// first, and spreadOf tells that number for a document, 0 if it has never been split.
func Shard(name string, layout int, levels []int, spreadOf func(n int) int) int {
	id := number(name)
	for _, of := range levels {
		if n := id % of; spreadOf(n) == of {
			return n
		}
	}
	return id % layout
}

// number is what a name ends in, or a hash of it.
func number(name string) int {
	digits := name[strings.LastIndexByte(name, '-')+1:]
	if n, err := strconv.ParseUint(digits, 10, 31); err == nil {
		return int(n)
	}
	h := fnv.New32a()
	h.Write([]byte(name))
	return int(h.Sum32() >> 1)
}

// MachineShardKey names machine shard n.
func MachineShardKey(n int) string { return MachineShards + strconv.Itoa(n) }

// JobShardKey names job shard n.
func JobShardKey(n int) string { return JobShards + strconv.Itoa(n) }

// ProgressKey names pack n of a partition's progress.
func ProgressKey(part, n int) string { return Progress + strconv.Itoa(part) + "/" + strconv.Itoa(n) }

// NodeKey names a process: the member and its incarnation.
func NodeKey(member, inc string) string { return Nodes + member + "/" + inc }

// PartKey names partition n.
func PartKey(n int) string { return Parts + strconv.Itoa(n) }

// Part is a partition's document.
type Part struct {
	Epoch  uint64 `json:"e"`
	Member string `json:"m"`
	Inc    string `json:"i"`
	Mark   string `json:"w,omitempty"`
}

// Task is one attempt of a task, bound to a machine.
type Task struct {
	Job     string
	Num     int
	Attempt uint64
	Stop    int // to be stopped: StopSave or StopNow
	Ran     int // it is done, 1 plus the tenths of a second that it ran; 0: it is not
}

// How a task is to be stopped.
const (
	StopSave = 1 // given the time to save, if it can
	StopNow  = 2 // its room is wanted at once
)

// MachineShard is some machines of one partition. It is written before any command to
// launch, so that who takes over needs no guess.
type MachineShard struct {
	Part     int           `json:"p"`
	Handover uint64        `json:"h,omitempty"`  // how often it changed partitions
	Spread   int           `json:"of,omitempty"` // of how many machine shards it is one, if it was split
	Kinds    []MachineKind `json:"k,omitempty"`  // that its machines refer to
	Machines []Machine     `json:"m,omitempty"`
	Mark     string        `json:"w,omitempty"`
}

// MachineKind is what many machines have in common, and is written once for all of
// them.
type MachineKind struct {
	Type string `json:"y"`
	Zone string `json:"z"`
	Spot bool   `json:"s,omitempty"`
}

// plainMachineShard is a machine shard without its methods.
type plainMachineShard MachineShard

// MarshalJSON lists the kinds of the machines.
func (g MachineShard) MarshalJSON() ([]byte, error) {
	out := plainMachineShard(g)
	out.Kinds, out.Machines = nil, slices.Clone(g.Machines)
	for i := range out.Machines {
		m := &out.Machines[i]
		if m.Ref = slices.Index(out.Kinds, m.MachineKind); m.Ref < 0 {
			m.Ref = len(out.Kinds)
			out.Kinds = append(out.Kinds, m.MachineKind)
		}
	}
	return squeeze(out)
}

// UnmarshalJSON gives the machines their kinds.
func (g *MachineShard) UnmarshalJSON(raw []byte) error {
	var in plainMachineShard
	raw, err := expand(raw)
	if err != nil {
		return fmt.Errorf("group: %w", err)
	}
	if err := json.Unmarshal(raw, &in); err != nil {
		return fmt.Errorf("group: %w", err)
	}
	for i := range in.Machines {
		m := &in.Machines[i]
		if m.Ref < 0 || m.Ref >= len(in.Kinds) {
			return fmt.Errorf("group: machine %s is of no kind", m.Name)
		}
		m.MachineKind = in.Kinds[m.Ref]
	}
	*g = MachineShard(in)
	return nil
}

// Machine lists all that may be on a machine.
type Machine struct {
	Name        string `json:"n"`
	Addr        string `json:"a"`
	MachineKind `json:"-"`
	Ref         int    `json:"k"`           // its kind, among those of the machine shard
	Handover    uint64 `json:"h,omitempty"` // how often its token was raised for itself
	Retired     bool   `json:"r,omitempty"` // to be given back: it gets nothing more
	Tasks       Tasks  `json:"t,omitempty"`
}

// BaseDoc names the first machine that was rented by this service: names are in
// order of creation, so all earlier ones are the operator's own.
type BaseDoc struct {
	First string `json:"n"`
	Mark  string `json:"w,omitempty"`
}

// JobShard is some accepted jobs, in order of their ids.
type JobShard struct {
	Jobs   []Job  `json:"j,omitempty"`
	Spread int    `json:"of,omitempty"` // of how many job shards it is one, if it was split
	Mark   string `json:"w,omitempty"`
}

// plainJobShard is a job shard without its methods.
type plainJobShard JobShard

// MarshalJSON writes the short form.
func (s JobShard) MarshalJSON() ([]byte, error) { return squeeze(plainJobShard(s)) }

// UnmarshalJSON reads either form.
func (s *JobShard) UnmarshalJSON(raw []byte) error {
	raw, err := expand(raw)
	if err != nil {
		return fmt.Errorf("shelf: %w", err)
	}
	if err := json.Unmarshal(raw, (*plainJobShard)(s)); err != nil {
		return fmt.Errorf("shelf: %w", err)
	}
	return nil
}

// Job is an accepted job as submitted.
type Job struct {
	ID      string   `json:"i"`
	Class   string   `json:"c"`
	Team    string   `json:"tm"`
	Service bool     `json:"s,omitempty"`
	Grade   int      `json:"g"`
	Tasks   int      `json:"n"`
	CPUs    float64  `json:"cp"`
	GPUs    float64  `json:"gp,omitempty"`
	MemGB   float64  `json:"me"`
	Types   []string `json:"ty,omitempty"`
	Zone    string   `json:"z,omitempty"`
	OneZone bool     `json:"oz,omitempty"`
	Spread  bool     `json:"sd,omitempty"`
	Spot    bool     `json:"sp,omitempty"`
	Image   string   `json:"im"`
	ImageGB float64  `json:"ig"`
	EstS    float64  `json:"es"`
	CkptS   float64  `json:"ck,omitempty"`
	SaveS   float64  `json:"sv,omitempty"`
	DueS    float64  `json:"du,omitempty"`
	At      int64    `json:"at"` // time of day at acceptance, microseconds
	Needs   IDs      `json:"nd,omitempty"`
}

// IDs is a list of jobs, written as one text without the part that all ids have in common.
type IDs []string

// MarshalJSON writes the short form.
func (ids IDs) MarshalJSON() ([]byte, error) {
	short := make([]string, len(ids))
	for i, id := range ids {
		short[i] = strings.TrimPrefix(id, jobPrefix)
	}
	return json.Marshal(strings.Join(short, ","))
}

// UnmarshalJSON reads the short form.
func (ids *IDs) UnmarshalJSON(raw []byte) error {
	var text string
	if err := json.Unmarshal(raw, &text); err != nil {
		return fmt.Errorf("ids: %w", err)
	}
	*ids = nil
	if text == "" {
		return nil
	}
	for _, short := range strings.Split(text, ",") {
		*ids = append(*ids, jobPrefix+short)
	}
	return nil
}

// Pack is the progress of some jobs.
type Pack struct {
	Jobs map[string]Done `json:"j"`
	Mark string          `json:"w,omitempty"`
}

// Done is a job's progress.
type Done struct {
	Ranges string `json:"r"`
	// Average seconds of finished tasks, and of how many, so that estimates
	// survive a take-over.
	AvgS float64 `json:"a,omitempty"`
	Of   int     `json:"c,omitempty"`
}

// Final is a job's end.
type Final struct {
	Stage   string `json:"s"`
	Done    int    `json:"n"`
	At      int64  `json:"t,omitempty"` // time of day when it was written, microseconds
	Because string `json:"b,omitempty"` // the needed job whose cancellation cancelled it
	Mark    string `json:"w,omitempty"`
}

// Set is a set of task numbers kept as sorted, disjoint, inclusive ranges.
type Set struct{ r [][2]int }

// ParseSet reads the form that String writes.
func ParseSet(s string) (Set, error) {
	var out Set
	if s == "" {
		return out, nil
	}
	for _, f := range strings.Split(s, ",") {
		a, b, two := strings.Cut(f, "-")
		lo, err := strconv.Atoi(a)
		if err != nil {
			return Set{}, fmt.Errorf("range %q: %w", f, err)
		}
		hi := lo
		if two {
			if hi, err = strconv.Atoi(b); err != nil {
				return Set{}, fmt.Errorf("range %q: %w", f, err)
			}
		}
		out.r = append(out.r, [2]int{lo, hi})
	}
	return out, nil
}

func (s Set) String() string {
	var b strings.Builder
	for i, x := range s.r {
		if i > 0 {
			b.WriteByte(',')
		}
		b.WriteString(strconv.Itoa(x[0]))
		if x[1] > x[0] {
			b.WriteByte('-')
			b.WriteString(strconv.Itoa(x[1]))
		}
	}
	return b.String()
}

// find returns the index of the first range that ends at or after n.
func (s Set) find(n int) int {
	return sort.Search(len(s.r), func(i int) bool { return s.r[i][1] >= n })
}

// Has reports whether n is in the set.
func (s Set) Has(n int) bool {
	i := s.find(n)
	return i < len(s.r) && s.r[i][0] <= n
}

// Len counts the numbers in the set.
func (s Set) Len() int {
	n := 0
	for _, x := range s.r {
		n += x[1] - x[0] + 1
	}
	return n
}

// Missing is the least number that is not in the set.
func (s Set) Missing() int {
	if len(s.r) > 0 && s.r[0][0] == 0 {
		return s.r[0][1] + 1
	}
	return 0
}

// Union returns the numbers that are in either set.
func (s Set) Union(other Set) Set {
	all := append(slices.Clone(s.r), other.r...)
	slices.SortFunc(all, func(a, b [2]int) int { return cmp.Compare(a[0], b[0]) })
	var out [][2]int
	for _, x := range all {
		if last := len(out) - 1; last >= 0 && x[0] <= out[last][1]+1 {
			out[last][1] = max(out[last][1], x[1])
			continue
		}
		out = append(out, x)
	}
	return Set{out}
}

// Ranges counts the ranges, which is what the set costs in the store.
func (s Set) Ranges() int { return len(s.r) }

// End is one more than the largest number in the set.
func (s Set) End() int {
	if len(s.r) == 0 {
		return 0
	}
	return s.r[len(s.r)-1][1] + 1
}

// With returns the set with n added; s stays as it was.
func (s Set) With(n int) Set {
	if s.Has(n) {
		return s
	}
	i := s.find(n)
	out := make([][2]int, 0, len(s.r)+1)
	out = append(out, s.r[:i]...)
	out = append(out, [2]int{n, n})
	out = append(out, s.r[i:]...)
	if i+1 < len(out) && out[i+1][0] == n+1 {
		out[i][1] = out[i+1][1]
		out = append(out[:i+1], out[i+2:]...)
	}
	if i > 0 && out[i-1][1] == n-1 {
		out[i-1][1] = out[i][1]
		out = append(out[:i], out[i+1:]...)
	}
	return Set{out}
}
