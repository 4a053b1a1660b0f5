package changelog

import (
	"github.com/rattanscale/rattanscale/internal/entity"
)

// Snapshot is a stored configuration from which a starting daemon continues without
// reading the whole log. It contains the unparsed service text, inline or as the name of
// an object.
type Snapshot struct {
	Revision       uint64                    `json:"revision"`
	Text           string                    `json:"text,omitempty"`
	TextObject     string                    `json:"text_object,omitempty"`
	DataCentresOut map[string]bool           `json:"data_centres_out,omitempty"`
	HostsDraining  map[string]bool           `json:"hosts_draining,omitempty"`
	Rollouts       map[string]entity.Rollout `json:"rollouts,omitempty"`
	InForce        uint64                    `json:"in_force,omitempty"`
	LastChange     uint64                    `json:"last_change,omitempty"`
}

func newSnapshot(conf *entity.Configuration, text string) Snapshot {
	return Snapshot{
		Revision: conf.Revision, Text: text, DataCentresOut: conf.DataCentresOut, HostsDraining: conf.HostsDraining,
		Rollouts: conf.Rollouts, InForce: conf.InForceRevision, LastChange: conf.LastChangeRevision,
	}
}

func (s Snapshot) configuration(parse Parser) (*entity.Configuration, error) {
	conf := &entity.Configuration{
		Revision: s.Revision, DataCentresOut: s.DataCentresOut, HostsDraining: s.HostsDraining,
		Rollouts: s.Rollouts, InForceRevision: s.InForce, LastChangeRevision: s.LastChange,
	}
	if s.Text == "" {
		return conf, nil
	}
	text, err := parse(s.Text)
	if err != nil {
		return nil, err
	}
	conf.Text = text
	return conf, nil
}
