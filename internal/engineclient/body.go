package engineclient

import "io"

// Body is a request body split into parts, so that a part can be replaced without
// copying the others.
type Body [][]byte

// Len returns the length of the body in bytes.
func (b Body) Len() int64 {
	var n int64
	for _, part := range b {
		n += int64(len(part))
	}
	return n
}

// Reader returns a new reader of the whole body.
func (b Body) Reader() io.ReadCloser { return &bodyReader{remaining: b} }

// Slice returns the bytes from offset from up to, but not including, offset to. It
// copies no data; offsets outside the body are clipped.
func (b Body) Slice(from, to int64) Body {
	var slice Body
	for _, part := range b {
		n := int64(len(part))
		if start, end := max(0, from), min(n, to); start < end {
			slice = append(slice, part[start:end])
		}
		from, to = from-n, to-n
	}
	return slice
}

// bodyReader implements no io.WriterTo, so that the HTTP transport copies it through
// a pooled buffer; io.MultiReader would allocate a buffer for each request.
type bodyReader struct {
	remaining Body
	offset    int // in the first remaining part
}

// Read implements io.Reader.
func (r *bodyReader) Read(p []byte) (int, error) {
	n := 0
	for n < len(p) && len(r.remaining) > 0 {
		copied := copy(p[n:], r.remaining[0][r.offset:])
		n, r.offset = n+copied, r.offset+copied
		if r.offset == len(r.remaining[0]) {
			r.remaining, r.offset = r.remaining[1:], 0
		}
	}
	if n == 0 && len(r.remaining) == 0 {
		return 0, io.EOF
	}
	return n, nil
}

// Close implements io.Closer.
func (r *bodyReader) Close() error { return nil }
