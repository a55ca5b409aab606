package peer

import (
	"bytes"
	"sync"
)

// maxPooledBytes is the size of the largest buffer that is kept for further frames. Large
// frames are rare, and the memory of one per connection would be most of a node's.
const maxPooledBytes = 64 << 10

// buffers holds the buffers of frames that no connection uses at the moment.
var buffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// buffer is a buffer that has memory only between take and release.
type buffer struct{ *bytes.Buffer }

func (b *buffer) take() {
	if b.Buffer == nil {
		b.Buffer = buffers.Get().(*bytes.Buffer)
	}
	b.Reset()
}

func (b *buffer) release() {
	if b.Buffer != nil && b.Cap() <= maxPooledBytes {
		buffers.Put(b.Buffer)
	}
	b.Buffer = nil
}
