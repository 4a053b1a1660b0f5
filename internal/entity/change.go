package entity

import "time"

// ChangeKind names what an entry of the change log does.
type ChangeKind string

// The kinds of changes.
const (
	ChangeApply         ChangeKind = "apply"
	ChangeTakeOut       ChangeKind = "data-centre-take-out"
	ChangeBringBack     ChangeKind = "data-centre-bring-back"
	ChangeHostDrain     ChangeKind = "host-drain"
	ChangeHostReturn    ChangeKind = "host-return"
	ChangeRolloutStart  ChangeKind = "rollout-start"
	ChangeRolloutStep   ChangeKind = "rollout-step"
	ChangeRolloutFinish ChangeKind = "rollout-finish"
	ChangeRolloutUndo   ChangeKind = "rollout-undo"
	ChangeInForce       ChangeKind = "in-force"
)

// Change is one entry of the ordered change log.
type Change struct {
	Revision uint64     `json:"revision"`
	ID       string     `json:"id"`
	Kind     ChangeKind `json:"kind"`
	Operator string     `json:"operator"`
	At       time.Time  `json:"at"`
	// Text is the service text of an apply change.
	Text string `json:"text,omitempty"`
	// Name is the data centre or host that the change is about.
	Name    string `json:"name,omitempty"`
	Service string `json:"service,omitempty"`
	From    string `json:"from,omitempty"`
	To      string `json:"to,omitempty"`
	Step    int    `json:"step,omitempty"`
	Reason  string `json:"reason,omitempty"`
	// Confirmed is the revision that an in-force entry confirms.
	Confirmed uint64 `json:"confirmed,omitempty"`
}
