package schema

import (
	"fmt"
	"testing"
)

// TestShardCount checks the number of machine shards for sizes of a value and quotas, and that a
// thousand machines are spread evenly over the shards.
func TestShardCount(t *testing.T) {
	for _, tc := range []struct {
		valueKB, cpus float64
		want          int
	}{
		{1, 0, 256}, {4, 0, 96}, {16, 0, 24}, {1000, 0, 8},
		{8, 4800, 12}, {8, 5200, 12}, {8, 7200, 24}, {8, 1e6, 48}, // limited by the teams' quotas
		{16, 1376, 12}, {16, 75000, 24}, {1000, 100, 8},
	} {
		if got := machineShardCount(tc.valueKB, tc.cpus); got != tc.want {
			t.Errorf("%v KB, %v CPUs: %d shards, want %d", tc.valueKB, tc.cpus, got, tc.want)
		}
	}
	machines := map[int]int{}
	for n := range 1000 {
		machines[ShardIndex(fmt.Sprintf("n-%06d", n), 96)]++
	}
	for shard, count := range machines {
		if count > 11 {
			t.Errorf("machine shard %d has %d machines", shard, count)
		}
	}
}

// TestFindShard checks that every name belongs to exactly one shard, also after shards were split
// into different numbers of parts and one of them twice.
func TestFindShard(t *testing.T) {
	counts := map[int]int{4: 32, 20: 32, 12: 16, 1: 24, 9: 24, 17: 24} // of 8 shards, 4 was split into 4 and 12, then 4 into 4 and 20; 1 was split into three
	splitCounts := []int{32, 24, 16}
	for id := range 500 {
		n := FindShard(fmt.Sprintf("n-%06d", id), 8, splitCounts, func(n int) int { return counts[n] })
		count := max(8, counts[n])
		if id%count != n {
			t.Fatalf("name %d does not belong to shard %d with modulus %d", id, n, count)
		}
		found := 0
		for shard := range 32 {
			count, split := counts[shard]
			if shard < 8 && !split {
				count = 8
			}
			if count > 0 && id%count == shard {
				found++
			}
		}
		if found != 1 {
			t.Fatalf("name %d belongs to %d shards", id, found)
		}
	}
}
