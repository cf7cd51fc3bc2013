package api_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"reflect"
	"slices"
	"strings"
	"testing"

	"github.com/getkin/kin-openapi/openapi3"
	"github.com/getkin/kin-openapi/openapi3filter"
	"github.com/getkin/kin-openapi/routers"
	"github.com/getkin/kin-openapi/routers/legacy"

	"foxtaildock.example/dock/api"
	"foxtaildock.example/dock/ident"
	"foxtaildock.example/dock/job"
	"foxtaildock.example/dock/report"
)

func loadSpec(t *testing.T) (*openapi3.T, routers.Router) {
	t.Helper()
	spec, err := openapi3.NewLoader().LoadFromFile("../docs/openapi.yaml")
	if err != nil {
		t.Fatal(err)
	}
	if err := spec.Validate(context.Background()); err != nil {
		t.Fatal(err)
	}
	router, err := legacy.NewRouter(spec)
	if err != nil {
		t.Fatal(err)
	}
	return spec, router
}

func TestOpenAPIHasAllFieldsOfTypes(t *testing.T) {
	spec, _ := loadSpec(t)
	for _, document := range []any{api.JobRequest{}, api.TaskRequest{}, api.JobAnswer{}, api.TaskResult{}, api.ErrorAnswer{}} {
		kind := reflect.TypeOf(document)
		schema := spec.Components.Schemas[kind.Name()].Value
		var want []string
		for field := range kind.Fields() {
			name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
			want = append(want, name)
		}
		var have []string
		for name := range schema.Properties {
			have = append(have, name)
		}
		slices.Sort(want)
		slices.Sort(have)
		if !slices.Equal(want, have) {
			t.Errorf("%s: openapi.yaml has the fields %v, the type has %v", kind.Name(), have, want)
		}
	}
}

func TestOpenAPIHasEveryReason(t *testing.T) {
	spec, _ := loadSpec(t)
	enum := spec.Components.Schemas["Reason"].Value.Enum
	if len(enum) != len(report.Explanations()) {
		t.Errorf("openapi.yaml has %d reasons, package report explains %d", len(enum), len(report.Explanations()))
	}
	for _, e := range report.Explanations() {
		if !slices.Contains(enum, any(string(e.Reason))) {
			t.Errorf("openapi.yaml lacks the reason %s", e.Reason)
		}
	}
}

// TestOutcomesMatchOpenAPI encodes each kind of outcome with each reason and
// validates the answer against docs/openapi.yaml.
func TestOutcomesMatchOpenAPI(t *testing.T) {
	_, router := loadSpec(t)
	key := ident.JobKey{Team: "tills", Key: "book-7"}
	for _, e := range report.Explanations() {
		for _, o := range []job.Outcome{job.Refuse(e.Reason, 1, "why"), job.Fail(e.Reason, 0, "")} {
			w := httptest.NewRecorder()
			if err := api.WriteOutcome(w, key, &o); err != nil {
				t.Fatal(err)
			}
			checkAnswer(t, router, w)
		}
	}
	complete := job.Outcome{Kind: job.Complete, Results: []job.Result{{Index: 0, Body: []byte("x")}, {Index: 1}}}
	w := httptest.NewRecorder()
	if err := api.WriteOutcome(w, key, &complete); err != nil {
		t.Fatal(err)
	}
	checkAnswer(t, router, w)
	for _, p := range []*api.Problem{
		{Status: http.StatusBadRequest, Field: "key", Message: "is missing"},
		{Status: http.StatusRequestEntityTooLarge, Message: "is too large"},
	} {
		w := httptest.NewRecorder()
		if err := api.WriteProblem(w, p); err != nil {
			t.Fatal(err)
		}
		checkAnswer(t, router, w)
	}
}

// checkAnswer validates an answer to a submission against docs/openapi.yaml.
func checkAnswer(t *testing.T, router routers.Router, w *httptest.ResponseRecorder) {
	t.Helper()
	r := httptest.NewRequest(http.MethodPost, api.PathJobs, nil)
	route, params, err := router.FindRoute(r)
	if err != nil {
		t.Fatal(err)
	}
	input := &openapi3filter.ResponseValidationInput{
		RequestValidationInput: &openapi3filter.RequestValidationInput{Request: r, PathParams: params, Route: route},
		Status:                 w.Code,
		Header:                 w.Header(),
		Options:                &openapi3filter.Options{IncludeResponseStatus: true},
	}
	body := w.Body.String()
	input.SetBodyBytes(w.Body.Bytes())
	if err := openapi3filter.ValidateResponse(context.Background(), input); err != nil {
		t.Errorf("%d %s does not match openapi.yaml: %v", w.Code, body, err)
	}
}
