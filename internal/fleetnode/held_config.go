package fleetnode

import (
	"bytes"
	"compress/flate"
	"errors"
	"fmt"
	"io"
	"sync"
)

// maxConfigBytes bounds a configuration from a peer; one with 1,560 added routes has half
// a megabyte.
const maxConfigBytes = 16 << 20

// errConfigTooLong reports a configuration of more than maxConfigBytes.
var errConfigTooLong = errors.New("the configuration is too long")

// heldConfig is the text of a configuration, for decoding and for peers that ask for it. It
// is compressed once, and all peers get the same buffer.
type heldConfig struct {
	version uint64
	raw     []byte

	once       sync.Once
	compressed []byte
	err        error
}

// compress returns the compressed text.
func (h *heldConfig) compress() ([]byte, error) {
	h.once.Do(func() {
		if h.compressed == nil {
			h.compressed, h.err = deflate(h.raw)
		}
	})
	return h.compressed, h.err
}

// newHeldConfig returns a configuration as a peer has sent it.
func newHeldConfig(version uint64, compressed []byte) (*heldConfig, error) {
	raw, err := inflate(compressed, maxConfigBytes)
	if err != nil {
		return nil, fmt.Errorf("decompress configuration %d: %w", version, err)
	}
	return &heldConfig{version: version, raw: raw, compressed: compressed}, nil
}

// deflate compresses a text.
func deflate(raw []byte) ([]byte, error) {
	var compressed bytes.Buffer
	w, err := flate.NewWriter(&compressed, flate.DefaultCompression)
	if err != nil {
		return nil, fmt.Errorf("compress: %w", err)
	}
	if _, err := w.Write(raw); err != nil {
		return nil, fmt.Errorf("compress: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("compress: %w", err)
	}
	return bytes.Clone(compressed.Bytes()), nil
}

// inflate decompresses a text of at most limit bytes.
func inflate(compressed []byte, limit int) ([]byte, error) {
	raw, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(compressed)), int64(limit)+1))
	if err != nil {
		return nil, err
	}
	if len(raw) > limit {
		return nil, errConfigTooLong
	}
	return raw, nil
}

// holdConfig keeps a configuration for peers before it has been decoded, if it is newer
// than the one that is held.
func (m *mirror) holdConfig(h *heldConfig) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.held != nil && h.version <= m.held.version || h.version <= m.rejectedVersion {
		return false
	}
	m.held = h
	return true
}

// holdListedConfig keeps the text of a configuration that the store sent. It returns false
// if the version cannot be told without decoding the text, or is not newer.
func (m *mirror) holdListedConfig(raw []byte) bool {
	if m.decoder.ConfigVersion == nil || raw == nil {
		return false
	}
	version, err := m.decoder.ConfigVersion(raw)
	if err != nil || version == 0 {
		return false // decoding reports it
	}
	return m.holdConfig(&heldConfig{version: version, raw: raw})
}

// heldConfig returns the newest configuration that is held, nil before the first.
func (m *mirror) heldConfig() *heldConfig {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.held
}

// rejectConfig drops a configuration that cannot be decoded.
func (m *mirror) rejectConfig(raw []byte) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.held == nil || !bytes.Equal(m.held.raw, raw) {
		return
	}
	m.rejectedVersion = max(m.rejectedVersion, m.held.version)
	m.held = nil
	if m.configVersion > 0 {
		m.held = &heldConfig{version: m.configVersion, raw: m.rawConfig}
	}
}

// rejected returns the newest version that could not be decoded.
func (m *mirror) rejected() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.rejectedVersion
}
