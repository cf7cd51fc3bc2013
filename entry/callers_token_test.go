package entry

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"foxtaildock.example/dock/api"
	"foxtaildock.example/dock/ident"
	"foxtaildock.example/dock/routing"
	"foxtaildock.example/dock/telemetry"
)

// tillsAccessPolicy accepts a single token, of the team tills.
type tillsAccessPolicy struct{ DocumentAccessPolicy }

func (*tillsAccessPolicy) Authorize(team ident.Team, token string) bool {
	return team == "tills" && token == "tills/shop-1/secret"
}

// failOnReadBody is a request body that fails the test if it is read.
type failOnReadBody struct{ t *testing.T }

func (b failOnReadBody) Read([]byte) (int, error) {
	b.t.Error("the body of a request without a valid token was read")
	return 0, io.EOF
}

func (failOnReadBody) Close() error { return errors.ErrUnsupported }

func TestBadTokensAreRefusedBeforeTheBodyIsReadAndRecorded(t *testing.T) {
	var recorded []int
	e := New(Config{
		Routing:      routing.DefaultConfig(),
		Limits:       Limits{JobsInFlight: 10, BytesInFlight: 1 << 20},
		AccessPolicy: &tillsAccessPolicy{},
		Log:          telemetry.Discard(),
		TokenRefused: func(_ *http.Request, status int) { recorded = append(recorded, status) },
	})
	ask := func(method, path, authorization string) int {
		r := httptest.NewRequest(method, path, nil)
		if method == http.MethodPost {
			r.Body = failOnReadBody{t}
		}
		r.Header.Set(api.TokenHeader, authorization)
		w := httptest.NewRecorder()
		e.Handler().ServeHTTP(w, r)
		return w.Code
	}
	cases := []struct {
		method, path, authorization string
		status                      int
	}{
		{"POST", api.PathJobs, "", 401},
		{"POST", api.PathJobs, "tills/shop-1/secret", 401},
		{"POST", api.PathJobs, "Bearer tills/shop-1/guess", 401},
		{"POST", api.PathJobs, "Bearer quotes/shop-1/secret", 401},
		{"GET", "/v1/jobs/tills/k", "Bearer tills/shop-1/guess", 401},
		{"GET", "/v1/jobs/quotes/k", "Bearer tills/shop-1/secret", 403},
		{"DELETE", "/v1/jobs/quotes/k", "Bearer tills/shop-1/secret", 403},
	}
	for i, c := range cases {
		if got := ask(c.method, c.path, c.authorization); got != c.status {
			t.Errorf("%+v: got status %d", c, got)
		}
		if len(recorded) != i+1 || recorded[i] != c.status {
			t.Fatalf("%+v: statuses recorded so far are %v", c, recorded)
		}
	}
}
