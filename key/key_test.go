package key_test

import (
	"bytes"
	"strings"
	"testing"

	"sapphirespread.example/key"
)

func TestSecretIsFoundByItsHash(t *testing.T) {
	secret, hash, err := key.Create(bytes.NewReader(bytes.Repeat([]byte{7}, 64)))
	if err != nil || !strings.HasPrefix(hash, "sha256:") || strings.Contains(hash, secret) {
		t.Fatalf("got secret %q, hash %q, error %v", secret, hash, err)
	}
	if hash != key.Hash(secret) {
		t.Errorf("got hash %s, want %s", hash, key.Hash(secret))
	}
	entry := key.Entry{Name: "oslo-2026", Workspace: "oslo", Withdrawn: true}
	index := key.NewIndex(key.HashedEntry{Entry: entry, Hash: hash}, key.HashedEntry{Hash: "sha256:short"})
	if got, ok := index.Lookup(secret); !ok || got != entry {
		t.Errorf("got entry %+v, found %t", got, ok)
	}
	for _, wrong := range []string{"", hash, secret + "x", strings.ToUpper(secret)} {
		if _, ok := index.Lookup(wrong); ok {
			t.Errorf("found an entry for the wrong secret %q", wrong)
		}
	}
}

func TestCreateFailsWithoutRandomness(t *testing.T) {
	if _, _, err := key.Create(strings.NewReader("short")); err == nil {
		t.Error("no error for too few random bytes")
	}
}

func TestParseHash(t *testing.T) {
	good := key.Hash("x")
	for _, c := range []struct {
		hash string
		want bool
	}{
		{good, true},
		{strings.ToUpper(good), false},
		{"sha256:" + strings.ToUpper(good[7:]), false},
		{good[7:], false},
		{good + "00", false},
		{"sha256:" + strings.Repeat("x", 64), false},
	} {
		if _, ok := key.ParseHash(c.hash); ok != c.want {
			t.Errorf("ParseHash(%q): got %t", c.hash, ok)
		}
	}
}

func BenchmarkFind(b *testing.B) {
	index := key.NewIndex(key.HashedEntry{Entry: key.Entry{Name: "a"}, Hash: key.Hash("secret")})
	b.ReportAllocs()
	for b.Loop() {
		if _, ok := index.Lookup("secret"); !ok {
			b.Fatal("key not found")
		}
	}
}
