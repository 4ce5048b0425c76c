package demo

import (
	"context"
	"io"
	"os"
	"time"

	"github.com/joomcode/errorx"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"sapphirespread.example/internal/deployment"
	"sapphirespread.example/internal/measure"
	"sapphirespread.example/timeline"
)

const (
	startAllowance   = 8 * time.Second
	stopAllowance    = 4 * time.Second
	minLoadDuration  = 3 * time.Second
	progressInterval = time.Second
	scenarioName     = "surge"
)

// Defaults of a Demo.
const (
	DefaultDuration = 45 * time.Second
	DefaultScale    = 0.05
)

// ShortestDuration is the minimum duration of a demo that starts, sends load and stops.
const ShortestDuration = startAllowance + minLoadDuration + stopAllowance

// A Demo runs both deployments under load.
type Demo struct {
	duration        time.Duration
	maxLoadDuration time.Duration
	scale           float64
	seed            uint64
	progress        io.Writer
	logger          zerolog.Logger
	timelineFolder  string
}

// An Option sets one property of a Demo.
type Option func(*Demo)

// WithDuration sets the total duration, which must be at least ShortestDuration.
func WithDuration(duration time.Duration) Option {
	return func(d *Demo) { d.duration = duration }
}

// WithLoadDuration limits the time for which load is sent, so that the demo may end before its duration.
func WithLoadDuration(limit time.Duration) Option {
	return func(d *Demo) { d.maxLoadDuration = limit }
}

// WithScale sets the size of the deployments as a share of the slots of the real ones.
func WithScale(scale float64) Option {
	return func(d *Demo) { d.scale = scale }
}

// WithSeed sets the seed of the load and the service times.
func WithSeed(seed uint64) Option {
	return func(d *Demo) { d.seed = seed }
}

// WithProgress sets the writer of progress lines, one per second and deployment.
func WithProgress(w io.Writer) Option {
	return func(d *Demo) { d.progress = w }
}

// WithLogger sets the logger of the processes.
func WithLogger(logger zerolog.Logger) Option {
	return func(d *Demo) { d.logger = logger }
}

// WithTimelineFolder sets the folder to which the time line of all processes is written, as text and as HTML.
func WithTimelineFolder(folder string) Option {
	return func(d *Demo) { d.timelineFolder = folder }
}

// New returns a Demo with defaults for all options that are not given.
func New(opts ...Option) *Demo {
	d := &Demo{duration: DefaultDuration, scale: DefaultScale, seed: 1, progress: io.Discard, logger: zerolog.Nop()}
	for _, opt := range opts {
		opt(d)
	}
	return d
}

// Run starts both deployments, sends the load and stops them, and returns an error if ctx ends first.
func (d *Demo) Run(ctx context.Context) (Summary, error) {
	if d.duration < ShortestDuration {
		return Summary{}, errorx.IllegalArgument.New("duration %v: want at least %v", d.duration, ShortestDuration)
	}
	deadline := time.Now().Add(d.duration)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	data, err := os.MkdirTemp("", "sapphirespread-demo-")
	if err != nil {
		return Summary{}, errorx.Decorate(err, "create a folder for the state")
	}
	defer func() { _ = os.RemoveAll(data) }()
	runs, err := d.start(ctx, data)
	if err != nil {
		return Summary{}, err
	}
	summary, err := d.sendLoad(ctx, runs, time.Until(deadline)-stopAllowance)
	if stopErr := stopAll(runs); err == nil {
		err = stopErr
	}
	if err != nil {
		return summary, err
	}
	return summary, d.writeTimeline(runs)
}

// start starts both deployments concurrently, and stops them if one fails to start.
func (d *Demo) start(ctx context.Context, data string) ([]*deploymentRun, error) {
	runs := []*deploymentRun{
		{deployment: deployment.Banevakt().Scaled(d.scale)},
		{deployment: deployment.Kite().Scaled(d.scale)},
	}
	var group errgroup.Group
	for _, run := range runs {
		group.Go(func() error { return run.start(ctx, data, d.seed, d.logger) })
	}
	if err := group.Wait(); err != nil {
		_ = stopAll(runs)
		return nil, err
	}
	return runs, nil
}

// sendLoad sends load for the given duration, with a surge in the middle third, and writes the progress meanwhile.
func (d *Demo) sendLoad(ctx context.Context, runs []*deploymentRun, duration time.Duration) (Summary, error) {
	if duration < minLoadDuration {
		return Summary{}, errorx.TimeoutElapsed.New("the start left %v for the load, want at least %v", duration, minLoadDuration)
	}
	if d.maxLoadDuration > 0 {
		duration = min(duration, d.maxLoadDuration)
	}
	phaseDuration := (duration / 3).Truncate(progressInterval)
	times := measure.Times{Before: phaseDuration, Trigger: phaseDuration, After: phaseDuration}
	start := time.Now()
	for _, run := range runs {
		run.prepare(times, d.seed, start)
	}
	progressCtx, stopProgress := context.WithCancel(ctx)
	progressDone := make(chan struct{})
	go func() {
		defer close(progressDone)
		d.writeProgress(progressCtx, runs, times, start)
	}()
	var group errgroup.Group
	for _, run := range runs {
		group.Go(func() error {
			run.sendLoad(ctx)
			return nil
		})
	}
	_ = group.Wait()
	stopProgress()
	<-progressDone
	if err := ctx.Err(); err != nil {
		return Summary{}, errorx.Decorate(err, "send the load")
	}
	return summarize(runs, times, d.scale, d.seed)
}

func (d *Demo) writeTimeline(sides []*deploymentRun) error {
	if d.timelineFolder == "" {
		return nil
	}
	var events [][]timeline.Event
	for _, run := range sides {
		events = append(events, run.events)
	}
	return writeTimeline(d.timelineFolder, timeline.Merge(events...))
}

func stopAll(runs []*deploymentRun) error {
	var group errgroup.Group
	for _, run := range runs {
		group.Go(run.stop)
	}
	return group.Wait()
}
