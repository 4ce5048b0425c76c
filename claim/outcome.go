package claim

const (
	// MaximumBodyBytes is the largest body that an outcome keeps.
	MaximumBodyBytes = 16 << 10
	// MaximumHeaderBytes is the size up to which an outcome keeps its headers.
	MaximumHeaderBytes = 4 << 10
)

// A Header is one header of a stored answer.
type Header struct {
	Name   string
	Values []string
}

// An Outcome is the answer of the attempt that ran. Where BodyKept is false the answer can't be repeated: it was
// too large, was dropped for newer ones, or never came; a status of 0 means that none came.
type Outcome struct {
	Status   int
	Headers  []Header
	Body     []byte
	BodyKept bool
}

// bounded returns a copy that is within the sizes kept.
func (o Outcome) bounded() Outcome {
	if !o.BodyKept || len(o.Body) > MaximumBodyBytes || o.headerBytes() > MaximumHeaderBytes {
		return Outcome{Status: o.Status}
	}
	return o.copied()
}

func (o Outcome) copied() Outcome {
	copied := o
	copied.Body = append([]byte(nil), o.Body...)
	copied.Headers = nil
	for _, h := range o.Headers {
		copied.Headers = append(copied.Headers, Header{h.Name, append([]string(nil), h.Values...)})
	}
	return copied
}

func (o Outcome) headerBytes() int {
	sum := 0
	for _, h := range o.Headers {
		sum += len(h.Name)
		for _, value := range h.Values {
			sum += len(value)
		}
	}
	return sum
}

func (o Outcome) bytes() int64 {
	return int64(o.headerBytes() + len(o.Body))
}
