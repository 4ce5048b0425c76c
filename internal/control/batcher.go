package control

import (
	"context"

	"google.golang.org/protobuf/proto"

	"sapphirespread.example/internal/control/controlpb"
	"sapphirespread.example/internal/peer/peerpb"
)

const (
	maxBatch         = 512
	maxQueuedClaims  = 16384
	parallelBatches  = 4
	claimUnavailable = "unavailable"
)

// A queuedClaim is one step on claims that waits for its batch.
type queuedClaim struct {
	step   *controlpb.ClaimStep
	answer func(*peerpb.ClaimAnswer)
}

// A batcher puts the claims of all sessions into few commands of the log.
type batcher struct {
	propose func(context.Context, []byte) ([]byte, error)
	queue   chan queuedClaim
}

func newBatcher(propose func(context.Context, []byte) ([]byte, error)) *batcher {
	return &batcher{propose: propose, queue: make(chan queuedClaim, maxQueuedClaims)}
}

// add queues one step; a full queue answers it as unavailable at once.
func (b *batcher) add(queued queuedClaim) {
	select {
	case b.queue <- queued:
	default:
		queued.fail()
	}
}

func (q queuedClaim) fail() {
	if q.answer != nil {
		q.answer(&peerpb.ClaimAnswer{Id: q.step.GetRequest().GetId(), State: claimUnavailable})
	}
}

// run proposes batches until ctx ends.
func (b *batcher) run(ctx context.Context) {
	free := make(chan struct{}, parallelBatches)
	for {
		select {
		case <-ctx.Done():
			return
		case free <- struct{}{}:
		}
		batch := b.next(ctx)
		if batch == nil {
			return
		}
		go func() {
			defer func() { <-free }()
			b.commit(ctx, batch)
		}()
	}
}

// next waits for one step and takes those that wait with it.
func (b *batcher) next(ctx context.Context) []queuedClaim {
	var batch []queuedClaim
	select {
	case <-ctx.Done():
		return nil
	case first := <-b.queue:
		batch = append(batch, first)
	}
	for len(batch) < maxBatch {
		select {
		case queued := <-b.queue:
			batch = append(batch, queued)
		default:
			return batch
		}
	}
	return batch
}

func (b *batcher) commit(ctx context.Context, batch []queuedClaim) {
	answers, err := b.proposeBatch(ctx, batch)
	for i, queued := range batch {
		switch {
		case err != nil:
			queued.fail()
		case queued.answer != nil:
			queued.answer(answers[i])
		}
	}
}

func (b *batcher) proposeBatch(ctx context.Context, batch []queuedClaim) ([]*peerpb.ClaimAnswer, error) {
	steps := &controlpb.ClaimBatch{}
	for _, queued := range batch {
		steps.Steps = append(steps.Steps, queued.step)
	}
	command, err := proto.Marshal(&controlpb.Command{Body: &controlpb.Command_Claims{Claims: steps}})
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	encoded, err := b.propose(ctx, command)
	if err != nil {
		return nil, err
	}
	var result controlpb.Result
	if err := proto.Unmarshal(encoded, &result); err != nil {
		return nil, err
	}
	answers := result.GetClaims().GetAnswers()
	if len(answers) != len(batch) {
		return nil, errBadResult
	}
	return answers, nil
}
