package daemon

import "sync"

var buffers = sync.Pool{New: func() any {
	buffer := make([]byte, frameDataBytes)
	return &buffer
}}

func takeBuffer() *[]byte {
	buffer, _ := buffers.Get().(*[]byte)
	return buffer
}

func putBuffer(buffer *[]byte) {
	buffers.Put(buffer)
}
