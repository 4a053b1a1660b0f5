package entity

import (
	"fmt"
	"strings"
	"time"
)

// ChangeKind is the action that an entry of the change log records.
type ChangeKind string

const (
	ChangeApply               ChangeKind = "apply"
	ChangeDataCentreTakeOut   ChangeKind = "data-centre-take-out"
	ChangeDataCentreBringBack ChangeKind = "data-centre-bring-back"
	ChangeHostDrain           ChangeKind = "host-drain"
	ChangeHostReturn          ChangeKind = "host-return"
	ChangeRolloutStart        ChangeKind = "rollout-start"
	ChangeRolloutStep         ChangeKind = "rollout-step"
	ChangeRolloutFinish       ChangeKind = "rollout-finish"
	ChangeRolloutUndo         ChangeKind = "rollout-undo"
	ChangeInForce             ChangeKind = "in-force"
)

// Change is one entry of the change log, which orders entries by Revision.
type Change struct {
	Revision  uint64     `json:"revision"`
	ID        string     `json:"id"`
	Kind      ChangeKind `json:"kind"`
	Operator  string     `json:"operator"`
	CreatedAt time.Time  `json:"at"`
	// Text is the new service text of an apply change.
	Text string `json:"text,omitempty"`
	// Name is the data centre or host that the change applies to.
	Name    string `json:"name,omitempty"`
	Service string `json:"service,omitempty"`
	From    string `json:"from,omitempty"`
	To      string `json:"to,omitempty"`
	// Step is the percentage of requests that version To receives in a rollout.
	Step int `json:"step,omitempty"`
	// FinishWithin limits the duration of a rollout; 0 uses the limit of the service
	// text.
	FinishWithin time.Duration `json:"finish_within,omitempty"`
	Reason       string        `json:"reason,omitempty"`
	// ConfirmedRevision is the revision that every member has confirmed, set in in-force
	// changes.
	ConfirmedRevision uint64 `json:"confirmed,omitempty"`
}

// String formats the change as one line of key=value pairs.
func (c Change) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "revision=%d change=%s kind=%s operator=%s at=%s", c.Revision, c.ID, c.Kind, c.Operator, c.CreatedAt.UTC().Format(time.RFC3339Nano))
	for _, field := range []struct{ key, value string }{
		{"name", c.Name}, {"service", c.Service}, {"from", c.From}, {"to", c.To}, {"reason", c.Reason},
	} {
		if field.value != "" {
			fmt.Fprintf(&b, " %s=%q", field.key, field.value)
		}
	}
	if c.Step > 0 {
		fmt.Fprintf(&b, " step=%d", c.Step)
	}
	if c.ConfirmedRevision > 0 {
		fmt.Fprintf(&b, " confirmed=%d", c.ConfirmedRevision)
	}
	return b.String()
}
