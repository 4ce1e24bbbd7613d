package route

import (
	"errors"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

func testRoute(name, host, prefix, service string) Route {
	return Route{Name: name, Host: host, Prefix: prefix, Timeout: time.Second, Splits: []Split{{Service: service, Weight: 1}}}
}

func TestRouteOfHostInAnyCaseIsServed(t *testing.T) {
	table, err := New(1, []Route{
		testRoute("root", "one.example", "/", "a"), testRoute("long", "one.example", "/x/y/", "a"), testRoute("short", "one.example", "/x/", "a"),
		testRoute("mixed case", "Two.Example", "/x/", "a"),
	}, []Service{{Name: "a"}}, Limits{})
	if err != nil {
		t.Fatal(err)
	}
	type target struct{ Host, Path string }
	want := map[target]string{
		{"one.example", "/"}: "root", {"one.example", "/x"}: "root", {"one.example", "/x/"}: "short", {"one.example", "/x/y/z"}: "long",
		{"ONE.example", "/x/y"}: "short", {"two.example", "/x/1"}: "mixed case", {"Two.Example", "/x/1"}: "mixed case",
		{"two.example", "/y"}: "", {"three.example", "/"}: "",
	}
	got := map[target]string{}
	for asked := range want {
		matched, _ := table.Match(asked.Host, asked.Path)
		got[asked] = matched.Name
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("routes (-want +got):\n%s", diff)
	}
}

func TestInvalidTables(t *testing.T) {
	services := []Service{{Name: "a"}, {Name: "b"}}
	with := func(change func(*Route)) []Route {
		r := testRoute("r", "one.example", "/x/", "a")
		change(&r)
		return []Route{testRoute("valid", "one.example", "/", "a"), r}
	}
	tests := map[string]struct {
		routes   []Route
		services []Service
	}{
		"unknown service":        {with(func(r *Route) { r.Splits[0].Service = "c" }), services},
		"unknown second service": {with(func(r *Route) { r.Splits = append(r.Splits, Split{Service: "c"}) }), services},
		"no weight":              {with(func(r *Route) { r.Splits[0].Weight = 0 }), services},
		"no service":             {with(func(r *Route) { r.Splits = nil }), services},
		"negative weight":        {with(func(r *Route) { r.Splits = append(r.Splits, Split{Service: "b", Weight: -0.5}) }), services},
		"no timeout":             {with(func(r *Route) { r.Timeout = 0 }), services},
		"negative timeout":       {with(func(r *Route) { r.Timeout = -time.Second }), services},
		"no host":                {with(func(r *Route) { r.Host = "" }), services},
		"no prefix":              {with(func(r *Route) { r.Prefix = "" }), services},
		"same place":             {with(func(r *Route) { r.Prefix = "/" }), services},
		"same place, other case": {with(func(r *Route) { r.Host, r.Prefix = "One.Example", "/" }), services},
		"service named twice":    {with(func(*Route) {}), append([]Service{{Name: "a"}}, services...)},
		"service without a name": {with(func(*Route) {}), append([]Service{{}}, services...)},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if table, err := New(1, test.routes, test.services, Limits{}); !errors.As(err, &ErrInvalid{}) {
				t.Errorf("got table %v, error %v", table, err)
			}
		})
	}
}
