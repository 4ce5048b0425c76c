package limit

import "sync/atomic"

const (
	potTokenBits = 20
	maximumPot   = 1<<potTokenBits - 1
)

type potState int

const (
	potSpent potState = iota
	potShort
)

// pot holds the tokens of one grant with its expiry in one word, so that a token is spent only unexpired.
type pot struct {
	word atomic.Uint64
}

// spend takes tokens if that many are left and tick is before the expiry.
func (p *pot) spend(tick uint64, tokens int64) potState {
	for {
		word := p.word.Load()
		if int64(word&maximumPot) < tokens || tick >= word>>potTokenBits {
			return potShort
		}
		if p.word.CompareAndSwap(word, word-uint64(tokens)) {
			return potSpent
		}
	}
}

// fill puts tokens into an empty pot.
func (p *pot) fill(expiryTick uint64, tokens int64) {
	p.word.Store(expiryTick<<potTokenBits | uint64(tokens))
}

// empty takes all tokens out, expired ones too.
func (p *pot) empty() int64 {
	return int64(p.word.Swap(0) & maximumPot)
}
