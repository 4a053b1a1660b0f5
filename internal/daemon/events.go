package daemon

import "github.com/rattanscale/rattanscale/internal/timeline"

// events records the timeline of this daemon. It implements the Events
// interfaces of relay and permit and is safe for concurrent use.
type events struct{ recorder *timeline.Recorder }

// Record adds an event; attributes are pairs of key and value.
func (e *events) Record(kind, request string, attributes ...string) {
	list := make([]timeline.Attribute, 0, len(attributes)/2)
	for i := 0; i+1 < len(attributes); i += 2 {
		list = append(list, timeline.Attribute{Key: attributes[i], Value: attributes[i+1]})
	}
	e.recorder.Record(timeline.Kind(kind), request, list...)
}
