package steward

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/testing/protocmp"

	"burdocksaddle/wirepb"
)

// TestOriginQuery checks what a steward tells of streams that gateways began.
func TestOriginQuery(t *testing.T) {
	list := &softwareList{}
	list.set("v1", "v2")
	s, ctx := startStewardWithList(t, "", list.read)
	waitForVersions(ctx, t, s, "v1", "v2")
	both := []string{"v1", "v2"}
	s.recordStarts(&wirepb.StreamStarts{Groups: []*wirepb.StreamGroup{
		{Service: "lm", Software: "v1", Streams: []uint64{1, 2}}, {Service: "lm", Software: "v2", Streams: []uint64{3, 1}},
	}})
	tests := map[string]struct {
		query *wirepb.OriginQuery
		want  *wirepb.OriginReply
	}{
		"where it first began":          {&wirepb.OriginQuery{Stream: 1, Service: "lm"}, &wirepb.OriginReply{Known: true, Service: "lm", Software: "v1", Used: true, Versions: both}},
		"the other version":             {&wirepb.OriginQuery{Stream: 3, Service: "lm"}, &wirepb.OriginReply{Known: true, Service: "lm", Software: "v2", Used: true, Versions: both}},
		"unknown":                       {&wirepb.OriginQuery{Stream: 4, Service: "lm"}, &wirepb.OriginReply{Used: true, Versions: both, Proven: true}},
		"of a service with one version": {&wirepb.OriginQuery{Stream: 4, Service: "desk"}, &wirepb.OriginReply{Proven: true}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if diff := cmp.Diff(test.want, s.handleOrigin(ctx, test.query).GetOriginReply(), protocmp.Transform()); diff != "" {
				t.Error(diff)
			}
		})
	}
}
