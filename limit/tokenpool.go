package limit

import "sync/atomic"

const (
	poolTokenBits     = 20
	maximumPoolTokens = 1<<poolTokenBits - 1
)

type spendResult int

const (
	poolSpent spendResult = iota
	poolInsufficient
)

// tokenPool packs the tokens of one grant and its expiry tick into one atomic word, so that spending checks the expiry
// and takes the tokens in one step, without a lock.
type tokenPool struct {
	word atomic.Uint64
}

// spend takes tokens if enough are left and tick is before the expiry.
func (p *tokenPool) spend(tick uint64, tokens int64) spendResult {
	for {
		word := p.word.Load()
		if int64(word&maximumPoolTokens) < tokens || tick >= word>>poolTokenBits {
			return poolInsufficient
		}
		if p.word.CompareAndSwap(word, word-uint64(tokens)) {
			return poolSpent
		}
	}
}

// fill puts tokens into an empty pool.
func (p *tokenPool) fill(expiryTick uint64, tokens int64) {
	p.word.Store(expiryTick<<poolTokenBits | uint64(tokens))
}

// empty removes and returns all tokens, including expired ones.
func (p *tokenPool) empty() int64 {
	return int64(p.word.Swap(0) & maximumPoolTokens)
}
