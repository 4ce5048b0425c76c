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
	shortestLoad     = 3 * time.Second
	progressInterval = time.Second
	scenarioName     = "surge"
)

// Defaults of a Demo.
const (
	DefaultDuration = 45 * time.Second
	DefaultScale    = 0.05
)

// ShortestDuration is the shortest duration in which a demo can start, send load and stop.
const ShortestDuration = startAllowance + shortestLoad + stopAllowance

// A Demo is both deployments under load.
type Demo struct {
	duration time.Duration
	longest  time.Duration
	scale    float64
	seed     uint64
	progress io.Writer
	logger   zerolog.Logger
	folder   string
}

// An Option sets one property of a Demo.
type Option func(*Demo)

// WithDuration sets the time from start to end, at least ShortestDuration.
func WithDuration(duration time.Duration) Option {
	return func(d *Demo) { d.duration = duration }
}

// WithLoadDuration bounds the time for which load is sent, so that the demo may end sooner.
func WithLoadDuration(longest time.Duration) Option {
	return func(d *Demo) { d.longest = longest }
}

// WithScale sets the share of the slots of the real deployments.
func WithScale(scale float64) Option {
	return func(d *Demo) { d.scale = scale }
}

// WithSeed sets the seed of the load and the service times.
func WithSeed(seed uint64) Option {
	return func(d *Demo) { d.seed = seed }
}

// WithProgress sets where a line each second goes.
func WithProgress(w io.Writer) Option {
	return func(d *Demo) { d.progress = w }
}

// WithLogger sets where the processes log.
func WithLogger(logger zerolog.Logger) Option {
	return func(d *Demo) { d.logger = logger }
}

// WithTimelineFolder makes the demo write the time line of all processes there, as text and as a page.
func WithTimelineFolder(folder string) Option {
	return func(d *Demo) { d.folder = folder }
}

// New returns a Demo.
func New(opts ...Option) *Demo {
	d := &Demo{duration: DefaultDuration, scale: DefaultScale, seed: 1, progress: io.Discard, logger: zerolog.Nop()}
	for _, opt := range opts {
		opt(d)
	}
	return d
}

// Run starts both deployments, sends the load and stops them; it ends early with an error when ctx does.
func (d *Demo) Run(ctx context.Context) (Summary, error) {
	if d.duration < ShortestDuration {
		return Summary{}, errorx.IllegalArgument.New("duration %v: want at least %v", d.duration, ShortestDuration)
	}
	ends := time.Now().Add(d.duration)
	ctx, cancel := context.WithDeadline(ctx, ends)
	defer cancel()
	data, err := os.MkdirTemp("", "sapphirespread-demo-")
	if err != nil {
		return Summary{}, errorx.Decorate(err, "create a folder for the state")
	}
	defer func() { _ = os.RemoveAll(data) }()
	sides, err := d.start(ctx, data)
	if err != nil {
		return Summary{}, err
	}
	summary, err := d.load(ctx, sides, time.Until(ends)-stopAllowance)
	if stopErr := stop(sides); err == nil {
		err = stopErr
	}
	if err != nil {
		return summary, err
	}
	return summary, d.writeTimeline(sides)
}

// start brings up both deployments side by side.
func (d *Demo) start(ctx context.Context, data string) ([]*side, error) {
	sides := []*side{
		{deployment: deployment.Banevakt().Scaled(d.scale)},
		{deployment: deployment.Kite().Scaled(d.scale)},
	}
	var group errgroup.Group
	for _, s := range sides {
		group.Go(func() error { return s.start(ctx, data, d.seed, d.logger) })
	}
	if err := group.Wait(); err != nil {
		_ = stop(sides)
		return nil, err
	}
	return sides, nil
}

// load sends load for length, a third of it a surge, and tells the progress meanwhile.
func (d *Demo) load(ctx context.Context, sides []*side, length time.Duration) (Summary, error) {
	if length < shortestLoad {
		return Summary{}, errorx.TimeoutElapsed.New("the start left %v for the load, want at least %v", length, shortestLoad)
	}
	if d.longest > 0 {
		length = min(length, d.longest)
	}
	third := (length / 3).Truncate(progressInterval)
	times := measure.Times{Before: third, Trigger: third, After: third}
	start := time.Now()
	for _, s := range sides {
		s.prepare(times, d.seed, start)
	}
	telling, quiet := context.WithCancel(ctx)
	told := make(chan struct{})
	go func() {
		defer close(told)
		d.tell(telling, sides, times, start)
	}()
	var group errgroup.Group
	for _, s := range sides {
		group.Go(func() error {
			s.run(ctx)
			return nil
		})
	}
	_ = group.Wait()
	quiet()
	<-told
	if err := ctx.Err(); err != nil {
		return Summary{}, errorx.Decorate(err, "send the load")
	}
	return summarize(sides, times, d.scale, d.seed)
}

func (d *Demo) writeTimeline(sides []*side) error {
	if d.folder == "" {
		return nil
	}
	var all [][]timeline.Event
	for _, s := range sides {
		all = append(all, s.events)
	}
	return writeTimeline(d.folder, timeline.Merge(all...))
}

func stop(sides []*side) error {
	var group errgroup.Group
	for _, s := range sides {
		group.Go(s.stop)
	}
	return group.Wait()
}
