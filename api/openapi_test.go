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

func loadPage(t *testing.T) (*openapi3.T, routers.Router) {
	t.Helper()
	page, err := openapi3.NewLoader().LoadFromFile("../docs/openapi.yaml")
	if err != nil {
		t.Fatal(err)
	}
	if err := page.Validate(context.Background()); err != nil {
		t.Fatal(err)
	}
	router, err := legacy.NewRouter(page)
	if err != nil {
		t.Fatal(err)
	}
	return page, router
}

func TestPageHasTheFieldsOfTheTypes(t *testing.T) {
	page, _ := loadPage(t)
	for _, document := range []any{api.JobRequest{}, api.TaskRequest{}, api.JobAnswer{}, api.TaskResult{}, api.ErrorAnswer{}} {
		kind := reflect.TypeOf(document)
		schema := page.Components.Schemas[kind.Name()].Value
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
			t.Errorf("%s: the page has %v, the type has %v", kind.Name(), have, want)
		}
	}
}

func TestPageHasEveryReason(t *testing.T) {
	page, _ := loadPage(t)
	enum := page.Components.Schemas["Reason"].Value.Enum
	if len(enum) != len(report.Explanations()) {
		t.Errorf("the page has %d reasons, there are %d", len(enum), len(report.Explanations()))
	}
	for _, e := range report.Explanations() {
		if !slices.Contains(enum, any(string(e.Reason))) {
			t.Errorf("the page lacks %s", e.Reason)
		}
	}
}

// TestEveryOutcomeFitsThePage encodes each kind of outcome with each reason.
func TestEveryOutcomeFitsThePage(t *testing.T) {
	_, router := loadPage(t)
	key := ident.JobKey{Team: "tills", Key: "book-7"}
	for _, e := range report.Explanations() {
		for _, o := range []job.Outcome{job.Refuse(e.Reason, 1, "why"), job.Fail(e.Reason, 0, "")} {
			w := httptest.NewRecorder()
			if err := api.EncodeOutcome(w, key, &o); err != nil {
				t.Fatal(err)
			}
			checkAnswer(t, router, w)
		}
	}
	whole := job.Outcome{Kind: job.Complete, Results: []job.Result{{Index: 0, Body: []byte("x")}, {Index: 1}}}
	w := httptest.NewRecorder()
	if err := api.EncodeOutcome(w, key, &whole); err != nil {
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

// checkAnswer validates an answer to a submission against the page.
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
		t.Errorf("%d %s does not fit the page: %v", w.Code, body, err)
	}
}
