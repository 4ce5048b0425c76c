package claim_test

import (
	"bytes"
	"testing"

	"sapphirespread.example/claim"
)

// FuzzSnapshot checks that bytes are either rejected, which leaves the book unchanged, or restore a book whose own
// snapshot restores to an equal book.
func FuzzSnapshot(f *testing.F) {
	f.Add([]byte(nil))
	f.Add(encoded(f, sampleBook()))
	f.Fuzz(func(t *testing.T, snapshot []byte) {
		book := sampleBook()
		before := encoded(t, book)
		if err := book.UnmarshalBinary(snapshot); err != nil {
			if !bytes.Equal(encoded(t, book), before) {
				t.Fatal("a rejected snapshot changed the book")
			}
			return
		}
		restoredSnapshot := encoded(t, book)
		restoredBook := claim.NewRegistry()
		if err := restoredBook.UnmarshalBinary(restoredSnapshot); err != nil {
			t.Fatalf("own snapshot rejected: %v", err)
		}
		if !bytes.Equal(encoded(t, restoredBook), restoredSnapshot) {
			t.Fatal("the snapshot of a restored book differs")
		}
		book.Expire(epoch.Add(claim.DefaultRetention))
		book.Claim(epoch, claim.Key{Workspace: "oslo", Route: "book", IdempotencyKey: "k"}, "again", [32]byte{})
	})
}

func sampleBook() *claim.Registry {
	b := claim.NewRegistry()
	for i, key := range []string{"k", "m", timedKey(epoch, 1)} {
		k := claim.Key{Workspace: "oslo", Route: "book", IdempotencyKey: key}
		b.Claim(epoch, k, "a", [32]byte{byte(i)})
		if i == 0 {
			b.Release(epoch, k, "a")
			continue
		}
		b.Finish(epoch, k, "a", claim.Outcome{Status: 201, Body: []byte("done"), BodyKept: true, Headers: []claim.Header{{Name: "X", Values: []string{"\xff"}}}})
	}
	return b
}
