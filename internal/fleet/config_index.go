package fleet

import (
	"maps"

	"github.com/cespare/xxhash/v2"
)

// indexShards is the number of shards of an index.
const indexShards = 256

// index maps keys to values. It is not changed once it is in use; an index that is built
// from another shares with it the shards in which nothing differs.
type index[V any] struct {
	shards [indexShards]map[string]V
}

func shardOf(key string) int { return int(xxhash.Sum64String(key) % indexShards) }

func (x *index[V]) get(key string) (V, bool) {
	if x == nil {
		var none V
		return none, false
	}
	v, ok := x.shards[shardOf(key)][key]
	return v, ok
}

// indexBuilder builds an index from another one.
type indexBuilder[V any] struct {
	index *index[V]
	owned [indexShards]bool // shards that are not shared
}

func newIndexBuilder[V any](base *index[V]) *indexBuilder[V] {
	b := &indexBuilder[V]{index: &index[V]{}}
	if base != nil {
		b.index.shards = base.shards
	}
	return b
}

// shard returns the shard of a key, which may be changed.
func (b *indexBuilder[V]) shard(key string) map[string]V {
	i := shardOf(key)
	if !b.owned[i] {
		b.owned[i] = true
		b.index.shards[i] = maps.Clone(b.index.shards[i])
		if b.index.shards[i] == nil {
			b.index.shards[i] = make(map[string]V)
		}
	}
	return b.index.shards[i]
}

// commonEnds returns the numbers of equal items at the beginnings and at the ends of two
// lists. No item counts twice.
func commonEnds[T comparable](a, b []T, pause func()) (prefix, suffix int) {
	shorter := min(len(a), len(b))
	for prefix < shorter && a[prefix] == b[prefix] {
		pause()
		prefix++
	}
	for suffix < shorter-prefix && a[len(a)-1-suffix] == b[len(b)-1-suffix] {
		pause()
		suffix++
	}
	return prefix, suffix
}
