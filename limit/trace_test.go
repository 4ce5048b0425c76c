package limit_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"sapphirespread.example/limit"
)

func renderGrant(holder string, g limit.Grant) string {
	return fmt.Sprintf("%s: ask %d: %d tokens for %v, retry after %v\n", holder, g.ID, g.Tokens, g.Duration, g.RetryAfter)
}

// TestTraces replays calls of an owner and compares the grants and the bucket state. The argument at=DURATION is the
// time since the owner's start.
func TestTraces(t *testing.T) {
	datadriven.Walk(t, "testdata/traces", func(t *testing.T, path string) {
		var o *limit.Owner
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var (
				text, holder = "0s", "a"
				rate         float64
				request      = limit.GrantRequest{ID: 1, Workspace: workspace, Tokens: 1, Waiting: 1}
				burst, back  int64
			)
			d.MaybeScanArgs(t, "at", &text)
			d.MaybeScanArgs(t, "holder", &holder)
			d.MaybeScanArgs(t, "rate", &rate)
			d.MaybeScanArgs(t, "burst", &burst)
			d.MaybeScanArgs(t, "id", &request.ID)
			d.MaybeScanArgs(t, "tokens", &request.Tokens)
			d.MaybeScanArgs(t, "waiting", &request.Waiting)
			d.MaybeScanArgs(t, "back", &back)
			at, err := time.ParseDuration(text)
			if err != nil {
				d.Fatalf(t, "at: %v", err)
			}
			now := after(at)
			switch d.Cmd {
			case "start":
				o = limit.NewOwner(epoch, limit.WithOwnerStart(at), limit.WithClockRateMargin(0))
				return ""
			case "buckets":
				o.SetBuckets(now, []limit.NamedBucket{{Workspace: workspace, Bucket: limit.Bucket{Rate: rate, Burst: burst}}})
			case "ask":
				if g, answered := o.Request(now, holder, request); answered {
					return renderGrant(holder, g)
				}
				return "held back"
			case "poll":
				var answers strings.Builder
				for _, answer := range o.Poll(now) {
					answers.WriteString(renderGrant(answer.Holder, answer.Grant))
				}
				return answers.String()
			case "return":
				o.Return(now, holder, limit.Return{GrantID: request.ID, Workspace: workspace, Tokens: back})
			default:
				d.Fatalf(t, "command %q is not known", d.Cmd)
			}
			return fmt.Sprintf("%+v", o.Stats(now))
		})
	})
}
