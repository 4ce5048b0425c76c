package standin

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/joomcode/errorx"
)

// A Distribution names how service times are distributed around their mean.
type Distribution string

// The distributions of service times.
const (
	Constant    Distribution = "constant"
	Exponential Distribution = "exponential"
	Lognormal   Distribution = "lognormal"
)

const lognormalSigma = 0.5

// ParseDistribution returns the distribution called name.
func ParseDistribution(name string) (Distribution, error) {
	switch d := Distribution(name); d {
	case Constant, Exponential, Lognormal:
		return d, nil
	default:
		return "", errorx.IllegalArgument.New("unknown distribution %q: want constant, exponential or lognormal", name)
	}
}

// Sample draws one service time with the given mean.
func (d Distribution) Sample(random *rand.Rand, mean time.Duration) time.Duration {
	switch d {
	case Exponential:
		return time.Duration(random.ExpFloat64() * float64(mean))
	case Lognormal:
		mu := -lognormalSigma * lognormalSigma / 2
		return time.Duration(math.Exp(mu+lognormalSigma*random.NormFloat64()) * float64(mean))
	default:
		return mean
	}
}
