package standin

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/joomcode/errorx"
)

// Distribution is the probability distribution of service times.
type Distribution string

// Distributions of service times.
const (
	Constant    Distribution = "constant"
	Exponential Distribution = "exponential"
	Lognormal   Distribution = "lognormal"
)

// lognormalSigma is the standard deviation of the logarithm of the service time.
const lognormalSigma = 0.5

// ParseDistribution returns the distribution with the given name, or an error if the name is unknown.
func ParseDistribution(name string) (Distribution, error) {
	switch d := Distribution(name); d {
	case Constant, Exponential, Lognormal:
		return d, nil
	default:
		return "", errorx.IllegalArgument.New("unknown distribution %q: want constant, exponential or lognormal", name)
	}
}

// Sample draws a service time from the distribution with the given mean.
func (d Distribution) Sample(random *rand.Rand, mean time.Duration) time.Duration {
	switch d {
	case Exponential:
		return time.Duration(random.ExpFloat64() * float64(mean))
	case Lognormal:
		// exp(-sigma²/2) is the median of a lognormal distribution with mean 1.
		mu := -lognormalSigma * lognormalSigma / 2
		return time.Duration(math.Exp(mu+lognormalSigma*random.NormFloat64()) * float64(mean))
	default:
		return mean
	}
}
