package claim_test

import (
	"bytes"
	"testing"

	"sapphirespread.example/claim"
)

// FuzzSnapshot decodes bytes: they are refused, with the book unchanged, or give a book that encodes to a snapshot
// which decodes to the same.
func FuzzSnapshot(f *testing.F) {
	f.Add([]byte(nil))
	f.Add(encoded(f, sampleBook()))
	f.Fuzz(func(t *testing.T, snapshot []byte) {
		book := sampleBook()
		before := encoded(t, book)
		if err := book.UnmarshalBinary(snapshot); err != nil {
			if !bytes.Equal(encoded(t, book), before) {
				t.Fatal("a refused snapshot changed the book")
			}
			return
		}
		once := encoded(t, book)
		again := claim.NewBook()
		if err := again.UnmarshalBinary(once); err != nil {
			t.Fatalf("own snapshot refused: %v", err)
		}
		if !bytes.Equal(encoded(t, again), once) {
			t.Fatal("the snapshot of a restored book differs")
		}
		book.Expire(epoch.Add(claim.DefaultRetention))
		book.Claim(epoch, claim.Key{Workspace: "oslo", Route: "book", IdempotencyKey: "k"}, "again", [32]byte{})
	})
}

func sampleBook() *claim.Book {
	b := claim.NewBook()
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
