// Package prefix hashes the leading blocks of prompts. Engines identify the blocks of
// their prefix caches by these hashes, and entry instances compute the same hashes to
// match the cache events of an engine against a prompt.
package prefix

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Sizes of prompts and blocks.
const (
	// BytesPerToken is the number of prompt bytes that are counted as one token.
	BytesPerToken = 4
	// BlockTokens is the number of tokens in one cached block.
	BlockTokens = 256
	// BlockBytes is the number of prompt bytes in one cached block.
	BlockBytes = BlockTokens * BytesPerToken
)

// Tokens returns the number of tokens of a prompt with the given number of bytes,
// rounded up.
func Tokens(bytes int) int { return (bytes + BytesPerToken - 1) / BytesPerToken }

// Hashes returns the chained hashes of the first whole blocks of a prompt, at most
// limit of them; a limit of zero means all. Each hash covers the model name and every
// byte up to the end of its block, so that equal hashes mean equal prefixes. A partial
// block at the end has no hash.
func Hashes(model string, prompt []byte, limit int) []uint64 {
	blocks := len(prompt) / BlockBytes
	if limit > 0 {
		blocks = min(blocks, limit)
	}
	if blocks == 0 {
		return nil
	}
	hashes := make([]uint64, blocks)
	var previous [8]byte
	digest := xxhash.New()
	binary.LittleEndian.PutUint64(previous[:], xxhash.Sum64String(model))
	for i := range hashes {
		digest.Reset()
		_, _ = digest.Write(previous[:])
		_, _ = digest.Write(prompt[i*BlockBytes : (i+1)*BlockBytes])
		hashes[i] = digest.Sum64()
		binary.LittleEndian.PutUint64(previous[:], hashes[i])
	}
	return hashes
}
