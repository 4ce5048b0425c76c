package operator_test

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"

	"sapphirespread.example/internal/operator"
)

// FuzzPublication posts arbitrary bytes as a publication, which must either be rejected without a server error or come
// into force as a new revision.
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
		response := httptest.NewRecorder()
		h.ServeHTTP(response, request)
		current, err := memory.Current(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		accepted := response.Code == http.StatusOK
		if accepted != (current.Number == 1) || response.Code >= http.StatusInternalServerError || accepted && !json.Valid(content) {
			t.Errorf("%d to %q: revision %d, %s", response.Code, content, current.Number, response.Body)
		}
	})
}
