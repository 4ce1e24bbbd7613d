package steward

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/testing/protocmp"

	"burdocksaddle/wirepb"
)

// TestOriginQuery checks what a steward tells of streams that gateways began.
func TestOriginQuery(t *testing.T) {
	s, ctx := startSteward(t, "")
	s.recordStarts(&wirepb.StreamStarts{Groups: []*wirepb.StreamGroup{
		{Service: "lm", Software: "v1", Streams: []uint64{1, 2}}, {Service: "lm", Software: "v2", Streams: []uint64{3, 1}},
	}})
	tests := map[string]struct {
		query *wirepb.OriginQuery
		want  *wirepb.OriginReply
	}{
		"where it first began":          {&wirepb.OriginQuery{Stream: 1, Service: "lm"}, &wirepb.OriginReply{Known: true, Service: "lm", Software: "v1", Used: true}},
		"the other version":             {&wirepb.OriginQuery{Stream: 3, Service: "lm"}, &wirepb.OriginReply{Known: true, Service: "lm", Software: "v2", Used: true}},
		"unknown":                       {&wirepb.OriginQuery{Stream: 4, Service: "lm"}, &wirepb.OriginReply{Used: true}},
		"of a service with one version": {&wirepb.OriginQuery{Stream: 4, Service: "desk"}, &wirepb.OriginReply{}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if diff := cmp.Diff(test.want, s.handleOrigin(ctx, test.query).GetOriginReply(), protocmp.Transform()); diff != "" {
				t.Error(diff)
			}
		})
	}
}
