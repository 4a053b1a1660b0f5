package membership

import (
	"encoding/hex"
	"time"
)

// Heartbeat is both the request and the answer of the call member.heartbeat: the
// sender's state. The keys are short because each pair of members exchanges it
// four times a second in each direction.
type Heartbeat struct {
	Identity
	Revision uint64 `json:"r,omitempty"`
	Epoch    uint64 `json:"e,omitempty"`
	// View is set in an answer to a caller whose epoch is lower.
	View *View `json:"v,omitempty"`
	// StoreAgeMillis is the age, rounded up, of the sender's latest direct read
	// of the table service; 0 means that there was none.
	StoreAgeMillis int64 `json:"a,omitempty"`
	// StoreHead is the head revision returned by that read.
	StoreHead uint64 `json:"k,omitempty"`
	// SeenMembers has one bit for each member of the view of Epoch, sorted by name,
	// in hexadecimal: set when the sender has received a message from the member
	// within ConfirmationValidity.
	SeenMembers string `json:"h,omitempty"`
	Draining    bool   `json:"d,omitempty"`
	Ready       bool   `json:"y,omitempty"`
	Streams     int    `json:"s,omitempty"`
}

// NoView is passed as epoch to Tracker.Heartbeat for a message without a view.
const NoView = ^uint64(0)

// storeAge is the age of the sender's latest direct read of the store.
func (h Heartbeat) storeAge() time.Duration {
	return time.Duration(h.StoreAgeMillis) * time.Millisecond
}

// ageMillis rounds up and never returns 0, which means "no read".
func ageMillis(age time.Duration) int64 {
	return max(int64((age+time.Millisecond-1)/time.Millisecond), 1)
}

func encodeSeen(n int, seen func(i int) bool) string {
	bits := make([]byte, (n+7)/8)
	for i := range n {
		if seen(i) {
			bits[i/8] |= 1 << (i % 8)
		}
	}
	return hex.EncodeToString(bits)
}

// decodeSeen returns false when the text does not describe n members.
func decodeSeen(text string, n int) (func(i int) bool, bool) {
	bits, err := hex.DecodeString(text)
	if err != nil || len(bits) != (n+7)/8 {
		return nil, false
	}
	return func(i int) bool { return bits[i/8]&(1<<(i%8)) != 0 }, true
}
