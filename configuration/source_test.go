package configuration_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sapphirespread.example/configuration"
)

// publishWithSource returns a publish request whose document is its publication ID.
func publishWithSource(id string, version, base uint64) configuration.PublishRequest {
	document := []byte(id)
	set := configuration.Set{Limits: []configuration.Limit{{Name: "l", Rate: float64(version), Burst: 1}}}
	return configuration.PublishRequest{ID: id, Set: set, Source: &configuration.Source{Version: version, Base: base, Document: document}}
}

// TestSourcesAreAcceptedOnTheVersionThatTheyBuildOn publishes documents with their own version numbers, including
// repeated requests and two requests on the same base version.
func TestSourcesAreAcceptedOnTheVersionThatTheyBuildOn(t *testing.T) {
	r := configuration.NewRegistry()
	for _, step := range []struct {
		publish configuration.PublishRequest
		want    configuration.Outcome
		version uint64
	}{
		{publishWithSource("first", 5, 0), configuration.Accepted, 5},
		{publishWithSource("first", 5, 0), configuration.Accepted, 5},
		{publishWithSource("second", 7, 5), configuration.Accepted, 7},
		{publishWithSource("racer", 7, 5), configuration.Conflict, 7},
		{publishWithSource("racer", 7, 5), configuration.Conflict, 7},
		{publishWithSource("same-version", 7, 7), configuration.Broken, 7},
		{publishWithSource("old-version", 6, 7), configuration.Broken, 7},
		{publishWithSource("third", 12, 7), configuration.Accepted, 12},
		{publishWithSource("first", 5, 0), configuration.Accepted, 12},
		{publishWithSource("second", 7, 5), configuration.Accepted, 12},
	} {
		encoded, err := r.ReplaceSetByChanges(step.publish).MarshalBinary()
		if err != nil {
			t.Fatal(err)
		}
		var decoded configuration.PublishRequest
		if err := decoded.UnmarshalBinary(encoded); err != nil {
			t.Fatal(err)
		}
		got := r.Publish(time.Unix(1, 0), decoded)
		if got.Kind != step.want || r.Source().Version != step.version {
			t.Errorf("%s: got %s with version %d in force, want %s with version %d", step.publish.ID, got.Kind, r.Source().Version, step.want, step.version)
		}
	}
	state, err := r.MarshalBinary()
	if err != nil {
		t.Fatal(err)
	}
	restored := configuration.NewRegistry()
	if err := restored.UnmarshalBinary(state); err != nil {
		t.Fatal(err)
	}
	if string(restored.Source().Document) != "third" || restored.Publish(time.Unix(2, 0), publishWithSource("late", 13, 7)).Kind != configuration.Conflict {
		t.Error("the document and its version are not restored from a snapshot")
	}
}

// TestSplitsFollowTheirWeights checks that a route with two weighted services distributes many requests by weight.
func TestSplitsFollowTheirWeights(t *testing.T) {
	r := configuration.Route{Split: []configuration.WeightedService{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}}
	const draws = 10_000
	count := map[string]int{}
	for i := range uint64(draws) {
		count[r.ServiceFor(i*0x9e3779b97f4a7c15)]++
	}
	if count["a"] < 8900 || count["a"] > 9100 || count["a"]+count["b"] != draws {
		t.Errorf("got %v of %d requests, want about 90%% for a and the others for b", count, draws)
	}
}

// TestSettledResultsAreThoseOfTheLog guards against an order that is answered before it is decoded otherwise than the log
// would answer it. It draws publishes on old, current and future versions, some of them repeated.
func TestSettledResultsAreThoseOfTheLog(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := configuration.NewRegistry()
		var version uint64
		for range rapid.IntRange(1, 40).Draw(t, "publishes") {
			base := rapid.SampledFrom([]uint64{0, version / 2, version, version, version + 3}).Draw(t, "base")
			next := base + rapid.Uint64Range(0, 3).Draw(t, "step")
			id := fmt.Sprintf("%d on %d, %d", next, base, rapid.IntRange(0, 2).Draw(t, "variant"))
			publish := publishWithSource(id, next, base)
			settled, certain := r.SettledResult(id, base)
			// Another publish may be applied before this one.
			if other := publishWithSource("other "+id, version+1, version); rapid.Bool().Draw(t, "overtaken") && r.Publish(time.Unix(1, 0), r.ReplaceSetByChanges(other)).Kind == configuration.Accepted {
				version++
			}
			got := r.Publish(time.Unix(1, 0), r.ReplaceSetByChanges(publish))
			if certain && got.Kind != settled.Kind {
				t.Fatalf("%s: the log answers %s, settled was %s", id, got.Kind, settled.Kind)
			}
			if current := r.Source(); current != nil {
				version = current.Version
			}
		}
	})
}

// TestChangesOfADocumentApplyToTheirRevisionOnly guards against the changes of a document that are applied to another set
// with the same version, which a publish without a document has made possible.
func TestChangesOfADocumentApplyToTheirRevisionOnly(t *testing.T) {
	r := configuration.NewRegistry()
	r.Publish(time.Unix(1, 0), publishWithSource("first", 5, 0))
	late := r.ReplaceSetByChanges(publishWithSource("late", 7, 5))
	without := configuration.PublishRequest{ID: "own", Base: 1, Set: configuration.Set{Limits: []configuration.Limit{{Name: "own", Rate: 1, Burst: 1}}}}
	if got := r.Publish(time.Unix(2, 0), without); got.Kind != configuration.Accepted {
		t.Fatalf("the set without a document: %s", got.Kind)
	}
	if got := r.Publish(time.Unix(3, 0), publishWithSource("again", 5, 0)); got.Kind != configuration.Accepted {
		t.Fatalf("the document after it: %s", got.Kind)
	}
	if got := r.Publish(time.Unix(4, 0), late); got.Kind != configuration.Conflict {
		t.Errorf("the changes made for revision 1 are %s on revision %d, want a conflict", got.Kind, r.Revision())
	}
}
