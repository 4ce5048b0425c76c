package operator_test

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"

	"sapphirespread.example/internal/operator"
)

// FuzzPublication posts a publication in bytes of any kind: it is refused, or it is in force as a new revision.
func FuzzPublication(f *testing.F) {
	f.Add([]byte(`{"id":"one","base":0,"whole":true,"changes":[{"kind":"limit","name":"small","body":{"name":"small","rate":1.5,"burst":3}}]}`))
	f.Add([]byte(`{"id":"one","base":0,"author":"a","whole":true,"changes":[]}`))
	f.Add([]byte(`{"id":"one","base":-1,"whole":false,"changes":[{"kind":"limit","name":"small","body":{"rate":1e400}}]}`))
	f.Add([]byte(`{"id":"one","base":7,"whole":true,"changes":[{"kind":"key","name":"a","removed":true}]}`))
	f.Add([]byte(`{"id":"","base":0,"whole":null,"changes":null}`))
	f.Add([]byte(`[[[[[[`))
	f.Fuzz(func(t *testing.T, content []byte) {
		memory := newMemory()
		h, err := operator.NewHandler(memory)
		if err != nil {
			t.Fatal(err)
		}
		request := httptest.NewRequest(http.MethodPost, "/operator/v1/publications", bytes.NewReader(content))
		request.Header.Set("Content-Type", "application/json")
		answer := httptest.NewRecorder()
		h.ServeHTTP(answer, request)
		current, err := memory.Current(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		taken := answer.Code == http.StatusOK
		if taken != (current.Number == 1) || answer.Code >= http.StatusInternalServerError || taken && !json.Valid(content) {
			t.Errorf("%d to %q: revision %d, %s", answer.Code, content, current.Number, answer.Body)
		}
	})
}
