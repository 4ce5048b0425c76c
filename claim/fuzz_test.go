package claim_test

import (
	"bytes"
	"testing"

	"sapphirespread.example/claim"
)

// FuzzSnapshot checks that bytes are either rejected, which leaves the registry unchanged, or restore a registry whose
// own snapshot restores to an equal registry.
func FuzzSnapshot(f *testing.F) {
	f.Add([]byte(nil))
	f.Add(encoded(f, newSampleRegistry()))
	f.Fuzz(func(t *testing.T, snapshot []byte) {
		registry := newSampleRegistry()
		before := encoded(t, registry)
		if err := registry.UnmarshalBinary(snapshot); err != nil {
			if !bytes.Equal(encoded(t, registry), before) {
				t.Fatal("a rejected snapshot changed the registry")
			}
			return
		}
		restoredSnapshot := encoded(t, registry)
		restoredRegistry := claim.NewRegistry()
		if err := restoredRegistry.UnmarshalBinary(restoredSnapshot); err != nil {
			t.Fatalf("own snapshot rejected: %v", err)
		}
		if !bytes.Equal(encoded(t, restoredRegistry), restoredSnapshot) {
			t.Fatal("the snapshot of a restored registry differs")
		}
		registry.Expire(epoch.Add(claim.DefaultRetention))
		registry.Claim(epoch, claim.Key{Workspace: "oslo", Route: "book", IdempotencyKey: "k"}, "again", [32]byte{})
	})
}

func newSampleRegistry() *claim.Registry {
	r := claim.NewRegistry()
	for i, key := range []string{"k", "m", timedKey(epoch, 1)} {
		k := claim.Key{Workspace: "oslo", Route: "book", IdempotencyKey: key}
		r.Claim(epoch, k, "a", [32]byte{byte(i)})
		if i == 0 {
			r.Release(epoch, k, "a")
			continue
		}
		r.Finish(epoch, k, "a", claim.Outcome{Status: 201, Body: []byte("done"), BodyKept: true, Headers: []claim.Header{{Name: "X", Values: []string{"\xff"}}}})
	}
	return r
}
