package daemon

import "github.com/rattanscale/rattanscale/internal/timeline"

// events records timeline events of this daemon. It implements relay.Events and
// permit.Events and is safe for concurrent use.
type events struct{ recorder *timeline.Recorder }

// Record records an event. attributes alternates keys and values.
func (e *events) Record(kind, request string, attributes ...string) {
	list := make([]timeline.Attribute, 0, len(attributes)/2)
	for i := 0; i+1 < len(attributes); i += 2 {
		list = append(list, timeline.Attribute{Key: attributes[i], Value: attributes[i+1]})
	}
	e.recorder.Record(timeline.Kind(kind), request, list...)
}
