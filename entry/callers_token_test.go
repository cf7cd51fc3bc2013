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

// tillsGate knows one token.
type tillsGate struct{ DocumentGatekeeper }

func (*tillsGate) Authorize(team ident.Team, token string) bool {
	return team == "tills" && token == "tills/shop-1/secret"
}

// unreadBody fails the test if somebody reads it.
type unreadBody struct{ t *testing.T }

func (b unreadBody) Read([]byte) (int, error) {
	b.t.Error("the body of a stranger was read")
	return 0, io.EOF
}

func (unreadBody) Close() error { return errors.ErrUnsupported }

func TestStrangersAreTurnedAwayUnreadAndNoted(t *testing.T) {
	var noted []int
	e := New(Config{
		Routing:      routing.DefaultConfig(),
		Limits:       Limits{JobsInFlight: 10, BytesInFlight: 1 << 20},
		Gatekeeper:   &tillsGate{},
		Log:          telemetry.Discard(),
		TokenRefused: func(_ *http.Request, status int) { noted = append(noted, status) },
	})
	ask := func(method, path, authorization string) int {
		r := httptest.NewRequest(method, path, nil)
		if method == http.MethodPost {
			r.Body = unreadBody{t}
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
			t.Errorf("%+v: status %d", c, got)
		}
		if len(noted) != i+1 || noted[i] != c.status {
			t.Fatalf("%+v: noted %v", c, noted)
		}
	}
}
