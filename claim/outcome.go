package claim

const (
	// MaximumBodyBytes is the size in bytes up to which an outcome keeps its body.
	MaximumBodyBytes = 16 << 10
	// MaximumHeaderBytes is the size in bytes up to which an outcome keeps its headers.
	MaximumHeaderBytes = 4 << 10
)

// A Header is one header of a stored response.
type Header struct {
	Name   string
	Values []string
}

// An Outcome is the response of the attempt that ran. If BodyKept is false, the response can't be replayed: it was too
// large, was discarded in favor of newer ones, or is unknown. A status of 0 means that the response is unknown.
type Outcome struct {
	Status   int
	Headers  []Header
	Body     []byte
	BodyKept bool
}

// limited returns a copy of o, reduced to its status if the body or the headers exceed the maximum sizes.
func (o Outcome) limited() Outcome {
	if !o.BodyKept || len(o.Body) > MaximumBodyBytes || o.headerBytes() > MaximumHeaderBytes {
		return Outcome{Status: o.Status}
	}
	return o.clone()
}

func (o Outcome) clone() Outcome {
	clone := o
	clone.Body = append([]byte(nil), o.Body...)
	clone.Headers = nil
	for _, h := range o.Headers {
		clone.Headers = append(clone.Headers, Header{h.Name, append([]string(nil), h.Values...)})
	}
	return clone
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
