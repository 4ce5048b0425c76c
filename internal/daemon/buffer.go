package daemon

import "sync"

// bufferPool recycles the buffers in which bodies are copied.
var bufferPool = sync.Pool{New: func() any {
	buffer := make([]byte, frameDataBytes)
	return &buffer
}}

func takeBuffer() *[]byte {
	buffer, _ := bufferPool.Get().(*[]byte)
	return buffer
}

func putBuffer(buffer *[]byte) {
	bufferPool.Put(buffer)
}
