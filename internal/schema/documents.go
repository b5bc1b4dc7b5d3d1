// Package schema is what frostdock keeps in the key-value store: the layout of its keys and the
// documents.
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
	RootPrefix         = "k/"
	ActivePrefix       = "k/a/"
	LayoutKey          = "k/a/0" // before all other keys under Active, so that it is read first
	RegistrationPrefix = "k/a/n/"
	PartitionPrefix    = "k/a/p/"
	MachineShardPrefix = "k/a/g/"
	JobShardPrefix     = "k/a/j/"
	ProgressPrefix     = "k/a/d/"
	CancellationPrefix = "k/a/x/"
	FirstMachineKey    = "k/a/b"
	OutcomePrefix      = "k/f/"
)

// MachineShardCount is how many documents the machines are spread over. It follows from how large a
// value may be, so that a thousand machines with eight tasks each fill a third of what
// there is; and from how many CPUs all teams together may use at once, 0 if that is not
// limited: where fewer documents hold all that can run, each change tells of more machines,
// and freed places wait for a shorter time.
func MachineShardCount(valueKB, maxCPUs float64) int {
	count := maxShardCount(valueKB)
	if maxCPUs <= 0 {
		return count
	}
	usableBytes := valueKB * 1024 * 2 / 3
	for count/2 >= minShardCount && float64(count/2)*usableBytes >= maxCPUs*bytesPerCPU {
		count /= 2
	}
	return count
}

const (
	// minShardCount keeps the controllers from meeting at the same documents all the time.
	minShardCount = 12
	// bytesPerCPU is what a CPU in use costs in a machine shard, not deflated: tasks of two CPUs and
	// 16 bytes, and machines of 16 CPUs and 48 bytes.
	bytesPerCPU = 11
)

func maxShardCount(valueKB float64) int { return max(8, min(256, int(384/valueKB))) }

// JobShardCount is how many documents the jobs are spread over: few, so that one change
// accepts as many as it can while submissions come at once, but enough that the
// controllers seldom meet at one.
func JobShardCount(valueKB float64) int { return max(24, maxShardCount(valueKB)/2) }

// Layout says over how many documents machines and jobs are spread. The first controller
// of a new store writes it, and it stays: the settings that it follows from may change while
// the documents are there, and two controllers that count differently would not find each
// other's machines.
type Layout struct {
	MachineShards int
	JobShards     int
	Format        int // of the documents in the store: FormatBefore until all members know a later one
}

// Formats of the documents. A process announces the latest that it knows in its registration.
const (
	FormatInitial      = 0 // jobs without needs, documents that are never split
	FormatDependencies = 1 // jobs may need others, documents may be split
)

// layoutDoc is a Layout as stored. From FormatChains on the numbers stand under other names:
// a process of an earlier version that is started after all finds none, never finishes to load,
// and so does no harm.
type layoutDoc struct {
	InitialMachineShards int `json:"g"`
	InitialJobShards     int `json:"j"`
	Format               int `json:"format,omitempty"`
	MachineShards        int `json:"groups,omitempty"`
	JobShards            int `json:"shelves,omitempty"`
}

// MarshalJSON writes the form that belongs to the format.
func (l Layout) MarshalJSON() ([]byte, error) {
	if l.Format == FormatInitial {
		return json.Marshal(layoutDoc{InitialMachineShards: l.MachineShards, InitialJobShards: l.JobShards})
	}
	return json.Marshal(layoutDoc{Format: l.Format, MachineShards: l.MachineShards, JobShards: l.JobShards})
}

// UnmarshalJSON reads either form.
func (l *Layout) UnmarshalJSON(raw []byte) error {
	var doc layoutDoc
	if err := json.Unmarshal(raw, &doc); err != nil {
		return fmt.Errorf("layout: %w", err)
	}
	*l = Layout{MachineShards: doc.MachineShards, JobShards: doc.JobShards, Format: doc.Format}
	if doc.Format == FormatInitial {
		l.MachineShards, l.JobShards = doc.InitialMachineShards, doc.InitialJobShards
	}
	return nil
}

// Registration is a process's entry in the list of the living.
type Registration struct {
	Incarnation string `json:"w"`
	Format      int    `json:"f,omitempty"` // the latest that it knows
}

// NewLayout is the layout of a new store.
func NewLayout(valueKB, maxCPUs float64) Layout {
	return Layout{MachineShards: MachineShardCount(valueKB, maxCPUs), JobShards: JobShardCount(valueKB)}
}

// InitialLayout is the layout of a store that was written before layouts were.
func InitialLayout(valueKB float64) Layout {
	return Layout{MachineShards: maxShardCount(valueKB), JobShards: JobShardCount(valueKB)}
}

// MachineShardIndex is the machine shard that a machine stands in. Names are numbered in order of
// creation, so machines of one type, rented together, end up in many machine shards.
func MachineShardIndex(machine string, shards int) int { return nameNumber(machine) % shards }

// JobShardIndex is the job shard that a job stands on.
func JobShardIndex(job string, shards int) int { return nameNumber(job) % shards }

// Splitting. A document that is one of m, by the remainder of the names' numbers, is split in
// k by writing it and k-1 new ones, each as one of m*k: the number n becomes n, n+m, n+2m and
// so on. Every document says of how many it is one: a name stands in the document whose number
// is the remainder by that. Siblings may have been split differently.

// FindShard finds the document in which a name stands. layout is how many documents there were at
// first, levels are the other numbers of which some document says that it is one, the largest
// first, and spreadOf tells that number for a document, 0 if it has never been split.
func FindShard(name string, initialCount int, splitCounts []int, shardCount func(n int) int) int {
	number := nameNumber(name)
	for _, count := range splitCounts {
		if n := number % count; shardCount(n) == count {
			return n
		}
	}
	return number % initialCount
}

// nameNumber is what a name ends in, or a hash of it.
func nameNumber(name string) int {
	digits := name[strings.LastIndexByte(name, '-')+1:]
	if n, err := strconv.ParseUint(digits, 10, 31); err == nil {
		return int(n)
	}
	hash := fnv.New32a()
	hash.Write([]byte(name))
	return int(hash.Sum32() >> 1)
}

// MachineShardKey names machine shard n.
func MachineShardKey(n int) string { return MachineShardPrefix + strconv.Itoa(n) }

// JobShardKey names job shard n.
func JobShardKey(n int) string { return JobShardPrefix + strconv.Itoa(n) }

// ProgressKey names pack n of a partition's progress.
func ProgressKey(partition, segment int) string {
	return ProgressPrefix + strconv.Itoa(partition) + "/" + strconv.Itoa(segment)
}

// RegistrationKey names a process: the member and its incarnation.
func RegistrationKey(member, incarnation string) string {
	return RegistrationPrefix + member + "/" + incarnation
}

// PartitionKey names partition n.
func PartitionKey(n int) string { return PartitionPrefix + strconv.Itoa(n) }

// Partition is a partition's document.
type Partition struct {
	Term        uint64 `json:"e"`
	Member      string `json:"m"`
	Incarnation string `json:"i"`
	WriteTag    string `json:"w,omitempty"`
}

// Task is one attempt of a task, bound to a machine.
type Task struct {
	Job        string
	Index      int
	Attempt    uint64
	StopMode   int // to be stopped: StopSave or StopNow
	DoneTenths int // it is done, 1 plus the tenths of a second that it ran; 0: it is not
}

// How a task is to be stopped.
const (
	StopGracefully  = 1 // given the time to save, if it can
	StopImmediately = 2 // its room is wanted at once
)

// MachineShard is some machines of one partition. It is written before any command to
// launch, so that who takes over needs no guess.
type MachineShard struct {
	Partition  int           `json:"p"`
	Handovers  uint64        `json:"h,omitempty"`  // how often it changed partitions
	ShardCount int           `json:"of,omitempty"` // of how many machine shards it is one, if it was split
	Kinds      []MachineKind `json:"k,omitempty"`  // that its machines refer to
	Machines   []Machine     `json:"m,omitempty"`
	WriteTag   string        `json:"w,omitempty"`
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
func (s MachineShard) MarshalJSON() ([]byte, error) {
	out := plainMachineShard(s)
	out.Kinds, out.Machines = nil, slices.Clone(s.Machines)
	for i := range out.Machines {
		machine := &out.Machines[i]
		if machine.KindIndex = slices.Index(out.Kinds, machine.MachineKind); machine.KindIndex < 0 {
			machine.KindIndex = len(out.Kinds)
			out.Kinds = append(out.Kinds, machine.MachineKind)
		}
	}
	return compress(out)
}

// UnmarshalJSON gives the machines their kinds.
func (s *MachineShard) UnmarshalJSON(raw []byte) error {
	var decoded plainMachineShard
	raw, err := decompress(raw)
	if err != nil {
		return fmt.Errorf("group: %w", err)
	}
	if err := json.Unmarshal(raw, &decoded); err != nil {
		return fmt.Errorf("group: %w", err)
	}
	for i := range decoded.Machines {
		machine := &decoded.Machines[i]
		if machine.KindIndex < 0 || machine.KindIndex >= len(decoded.Kinds) {
			return fmt.Errorf("group: machine %s is of no kind", machine.Name)
		}
		machine.MachineKind = decoded.Kinds[machine.KindIndex]
	}
	*s = MachineShard(decoded)
	return nil
}

// Machine lists all that may be on a machine.
type Machine struct {
	Name            string `json:"n"`
	Addr            string `json:"a"`
	MachineKind     `json:"-"`
	KindIndex       int    `json:"k"`           // its kind, among those of the machine shard
	TokenIncrements uint64 `json:"h,omitempty"` // how often its token was raised for itself
	Decommissioned  bool   `json:"r,omitempty"` // to be given back: it gets nothing more
	Tasks           Tasks  `json:"t,omitempty"`
}

// FirstMachine names the first machine that was rented by this service: names are in
// order of creation, so all earlier ones are the operator's own.
type FirstMachine struct {
	Name     string `json:"n"`
	WriteTag string `json:"w,omitempty"`
}

// JobShard is some accepted jobs, in order of their ids.
type JobShard struct {
	Jobs       []Job  `json:"j,omitempty"`
	ShardCount int    `json:"of,omitempty"` // of how many job shards it is one, if it was split
	WriteTag   string `json:"w,omitempty"`
}

// plainJobShard is a job shard without its methods.
type plainJobShard JobShard

// MarshalJSON writes the short form.
func (s JobShard) MarshalJSON() ([]byte, error) { return compress(plainJobShard(s)) }

// UnmarshalJSON reads either form.
func (s *JobShard) UnmarshalJSON(raw []byte) error {
	raw, err := decompress(raw)
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
	ID                        string   `json:"i"`
	Class                     string   `json:"c"`
	Team                      string   `json:"tm"`
	Service                   bool     `json:"s,omitempty"`
	Priority                  int      `json:"g"`
	Tasks                     int      `json:"n"`
	CPUs                      float64  `json:"cp"`
	GPUs                      float64  `json:"gp,omitempty"`
	MemGB                     float64  `json:"me"`
	Types                     []string `json:"ty,omitempty"`
	Zone                      string   `json:"z,omitempty"`
	OneZone                   bool     `json:"oz,omitempty"`
	Spread                    bool     `json:"sd,omitempty"`
	Spot                      bool     `json:"sp,omitempty"`
	Image                     string   `json:"im"`
	ImageGB                   float64  `json:"ig"`
	EstimatedSeconds          float64  `json:"es"`
	CheckpointIntervalSeconds float64  `json:"ck,omitempty"`
	CheckpointSeconds         float64  `json:"sv,omitempty"`
	DeadlineSeconds           float64  `json:"du,omitempty"`
	AcceptedAt                int64    `json:"at"` // time of day at acceptance, microseconds
	Needs                     JobIDs   `json:"nd,omitempty"`
}

// JobIDs is a list of jobs, written as one text without the part that all ids have in common.
type JobIDs []string

// MarshalJSON writes the short form.
func (ids JobIDs) MarshalJSON() ([]byte, error) {
	short := make([]string, len(ids))
	for i, id := range ids {
		short[i] = strings.TrimPrefix(id, jobPrefix)
	}
	return json.Marshal(strings.Join(short, ","))
}

// UnmarshalJSON reads the short form.
func (ids *JobIDs) UnmarshalJSON(raw []byte) error {
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

// ProgressSegment is the progress of some jobs.
type ProgressSegment struct {
	Jobs     map[string]JobProgress `json:"j"`
	WriteTag string                 `json:"w,omitempty"`
}

// JobProgress is a job's progress.
type JobProgress struct {
	DoneRanges string `json:"r"`
	// Average seconds of finished tasks, and of how many, so that estimates
	// survive a take-over.
	AverageSeconds float64 `json:"a,omitempty"`
	Samples        int     `json:"c,omitempty"`
}

// Outcome is a job's end.
type Outcome struct {
	State       string `json:"s"`
	TasksDone   int    `json:"n"`
	RecordedAt  int64  `json:"t,omitempty"` // time of day when it was written, microseconds
	CancelledBy string `json:"b,omitempty"` // the needed job whose cancellation cancelled it
	WriteTag    string `json:"w,omitempty"`
}

// TaskSet is a set of task numbers kept as sorted, disjoint, inclusive ranges.
type TaskSet struct{ ranges [][2]int }

// ParseTaskSet reads the form that String writes.
func ParseTaskSet(text string) (TaskSet, error) {
	var set TaskSet
	if text == "" {
		return set, nil
	}
	for _, rangeText := range strings.Split(text, ",") {
		firstText, lastText, isRange := strings.Cut(rangeText, "-")
		first, err := strconv.Atoi(firstText)
		if err != nil {
			return TaskSet{}, fmt.Errorf("range %q: %w", rangeText, err)
		}
		last := first
		if isRange {
			if last, err = strconv.Atoi(lastText); err != nil {
				return TaskSet{}, fmt.Errorf("range %q: %w", rangeText, err)
			}
		}
		set.ranges = append(set.ranges, [2]int{first, last})
	}
	return set, nil
}

func (s TaskSet) String() string {
	var b strings.Builder
	for i, span := range s.ranges {
		if i > 0 {
			b.WriteByte(',')
		}
		b.WriteString(strconv.Itoa(span[0]))
		if span[1] > span[0] {
			b.WriteByte('-')
			b.WriteString(strconv.Itoa(span[1]))
		}
	}
	return b.String()
}

// search returns the index of the first range that ends at or after n.
func (s TaskSet) search(n int) int {
	return sort.Search(len(s.ranges), func(i int) bool { return s.ranges[i][1] >= n })
}

// Contains reports whether n is in the set.
func (s TaskSet) Contains(n int) bool {
	i := s.search(n)
	return i < len(s.ranges) && s.ranges[i][0] <= n
}

// Len counts the numbers in the set.
func (s TaskSet) Len() int {
	count := 0
	for _, span := range s.ranges {
		count += span[1] - span[0] + 1
	}
	return count
}

// FirstMissing is the least number that is not in the set.
func (s TaskSet) FirstMissing() int {
	if len(s.ranges) > 0 && s.ranges[0][0] == 0 {
		return s.ranges[0][1] + 1
	}
	return 0
}

// Union returns the numbers that are in either set.
func (s TaskSet) Union(other TaskSet) TaskSet {
	all := append(slices.Clone(s.ranges), other.ranges...)
	slices.SortFunc(all, func(a, b [2]int) int { return cmp.Compare(a[0], b[0]) })
	var merged [][2]int
	for _, span := range all {
		if last := len(merged) - 1; last >= 0 && span[0] <= merged[last][1]+1 {
			merged[last][1] = max(merged[last][1], span[1])
			continue
		}
		merged = append(merged, span)
	}
	return TaskSet{merged}
}

// RangeCount counts the ranges, which is what the set costs in the store.
func (s TaskSet) RangeCount() int { return len(s.ranges) }

// End is one more than the largest number in the set.
func (s TaskSet) End() int {
	if len(s.ranges) == 0 {
		return 0
	}
	return s.ranges[len(s.ranges)-1][1] + 1
}

// With returns the set with n added; s stays as it was.
func (s TaskSet) With(n int) TaskSet {
	if s.Contains(n) {
		return s
	}
	i := s.search(n)
	extended := make([][2]int, 0, len(s.ranges)+1)
	extended = append(extended, s.ranges[:i]...)
	extended = append(extended, [2]int{n, n})
	extended = append(extended, s.ranges[i:]...)
	if i+1 < len(extended) && extended[i+1][0] == n+1 {
		extended[i][1] = extended[i+1][1]
		extended = append(extended[:i+1], extended[i+2:]...)
	}
	if i > 0 && extended[i-1][1] == n-1 {
		extended[i-1][1] = extended[i][1]
		extended = append(extended[:i], extended[i+1:]...)
	}
	return TaskSet{extended}
}
