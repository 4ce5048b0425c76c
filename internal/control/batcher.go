package control

import (
	"context"

	"google.golang.org/protobuf/proto"

	"sapphirespread.example/internal/control/controlpb"
	"sapphirespread.example/internal/peer/peerpb"
)

const (
	maxBatchSteps      = 512
	maxQueuedSteps     = 16384
	maxParallelBatches = 4
	claimUnavailable   = "unavailable"
)

// A queuedStep is a claim step waiting to be batched. Only claim requests have an answer function.
type queuedStep struct {
	step   *controlpb.ClaimStep
	answer func(*peerpb.ClaimAnswer)
}

// A batcher groups the claim steps of all sessions into batches and proposes each batch as one log command.
type batcher struct {
	propose func(context.Context, []byte) ([]byte, error)
	queue   chan queuedStep
}

func newBatcher(propose func(context.Context, []byte) ([]byte, error)) *batcher {
	return &batcher{propose: propose, queue: make(chan queuedStep, maxQueuedSteps)}
}

// add queues a step. If the queue is full, it answers a claim request as unavailable immediately.
func (b *batcher) add(queued queuedStep) {
	select {
	case b.queue <- queued:
	default:
		queued.fail()
	}
}

// fail answers a claim request as unavailable.
func (q queuedStep) fail() {
	if q.answer != nil {
		q.answer(&peerpb.ClaimAnswer{Id: q.step.GetRequest().GetId(), State: claimUnavailable})
	}
}

// run proposes up to maxParallelBatches batches at a time until ctx ends.
func (b *batcher) run(ctx context.Context) {
	slots := make(chan struct{}, maxParallelBatches)
	for {
		select {
		case <-ctx.Done():
			return
		case slots <- struct{}{}:
		}
		batch := b.nextBatch(ctx)
		if batch == nil {
			return
		}
		go func() {
			defer func() { <-slots }()
			b.commit(ctx, batch)
		}()
	}
}

// nextBatch waits for a step and returns it with all other queued steps, up to maxBatchSteps. It returns nil when ctx
// ends.
func (b *batcher) nextBatch(ctx context.Context) []queuedStep {
	var batch []queuedStep
	select {
	case <-ctx.Done():
		return nil
	case first := <-b.queue:
		batch = append(batch, first)
	}
	for len(batch) < maxBatchSteps {
		select {
		case queued := <-b.queue:
			batch = append(batch, queued)
		default:
			return batch
		}
	}
	return batch
}

// commit proposes a batch and answers its claim requests, as unavailable if the proposal failed.
func (b *batcher) commit(ctx context.Context, batch []queuedStep) {
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

// proposeBatch commits a batch through the log and returns one answer per step, in order.
func (b *batcher) proposeBatch(ctx context.Context, batch []queuedStep) ([]*peerpb.ClaimAnswer, error) {
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
		return nil, errAnswerCount
	}
	return answers, nil
}
