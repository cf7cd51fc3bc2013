package entry_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/getkin/kin-openapi/openapi3"
	"github.com/getkin/kin-openapi/openapi3filter"
	"github.com/getkin/kin-openapi/routers/legacy"

	"foxtaildock.example/dock/api"
)

// TestHandlerAnswersMatchOpenAPI sends requests through a running entry and
// agents and validates each answer against docs/openapi.yaml.
func TestHandlerAnswersMatchOpenAPI(t *testing.T) {
	cell := newTestCell(t, 3)
	const start = `{"team":"till","key":"a","service":"serial","deadline_ms":9000,"first_attempt":true,"first_attempt_at":"`
	const longAgo = "2020-01-01T00:00:00Z"
	good := start + time.Now().UTC().Format(time.RFC3339Nano) + `","tasks":[{"index":0,"payload":"eA=="},{"index":1}]}`
	cases := []struct {
		name, method, path, body, token string
		status                          int
	}{
		{"complete", "POST", "/v1/jobs", good, "x", 200},
		{"resubmitted", "POST", "/v1/jobs", strings.Replace(good, `"first_attempt":true,`, "", 1), "x", 200},
		{"key reused", "POST", "/v1/jobs", strings.Replace(good, "eA==", "eQ==", 1), "x", 409},
		{"cannot run", "POST", "/v1/jobs", strings.NewReplacer(`"a"`, `"b"`, `"serial"`, `"other"`).Replace(good), "x", 422},
		{"too old", "POST", "/v1/jobs", strings.Replace(start, `"a"`, `"c"`, 1) + longAgo + `","tasks":[{"index":0}]}`, "x", 410},
		{"malformed", "POST", "/v1/jobs", "{", "x", 400},
		{"bad index", "POST", "/v1/jobs", strings.Replace(good, `"index":1`, `"index":2`, 1), "x", 400},
		{"too large", "POST", "/v1/jobs", strings.Repeat(" ", api.MaxBodyBytes+1), "x", 413},
		{"no token", "POST", "/v1/jobs", good, "", 401},
		{"state", "GET", "/v1/jobs/till/a", "", "x", 200},
		{"wait", "GET", "/v1/jobs/till/a?wait=1", "", "x", 200},
		{"unknown key", "GET", "/v1/jobs/till/none", "", "x", 404},
		{"bad key", "GET", "/v1/jobs/till/%20", "", "x", 400},
		{"cancel too late", "DELETE", "/v1/jobs/till/a", "", "x", 200},
		{"cancel unknown", "DELETE", "/v1/jobs/till/none", "", "x", 404},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			status := cell.checkAgainstSpec(t, c.method, c.path, c.body, c.token)
			if status != c.status {
				t.Errorf("status %d, want %d", status, c.status)
			}
		})
	}
}

// checkAgainstSpec sends a request, validates the answer against
// docs/openapi.yaml and returns its status.
func (cell *testCell) checkAgainstSpec(t *testing.T, method, target, body, token string) int {
	t.Helper()
	r, err := http.NewRequest(method, cell.entry.URL+target, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	if token != "" {
		r.Header.Set(api.TokenHeader, "Bearer "+token)
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	if err := checkResponse(r, response, answer); err != nil {
		t.Errorf("%d %s\n%v", response.StatusCode, answer, err)
	}
	return response.StatusCode
}

func checkResponse(r *http.Request, response *http.Response, answer []byte) error {
	spec, err := openapi3.NewLoader().LoadFromFile("../docs/openapi.yaml")
	if err != nil {
		return err
	}
	router, err := legacy.NewRouter(spec)
	if err != nil {
		return err
	}
	r = httptest.NewRequest(r.Method, r.URL.RequestURI(), nil) // without a host, since the spec names none
	route, params, err := router.FindRoute(r)
	if err != nil {
		return err
	}
	input := &openapi3filter.ResponseValidationInput{
		RequestValidationInput: &openapi3filter.RequestValidationInput{Request: r, PathParams: params, Route: route},
		Status:                 response.StatusCode,
		Header:                 response.Header,
		Options:                &openapi3filter.Options{IncludeResponseStatus: true},
	}
	input.SetBodyBytes(answer)
	return openapi3filter.ValidateResponse(context.Background(), input)
}
