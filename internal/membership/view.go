package membership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Identity identifies one incarnation of a daemon: each start of its process has a higher
// Incarnation.
type Identity struct {
	Name        string `json:"n"`
	Incarnation uint64 `json:"i"`
}

// Member is one daemon of a cell.
type Member struct {
	Identity
	PeerAddress     string `json:"p"`
	CallerAddress   string `json:"c,omitempty"`
	OperatorAddress string `json:"o,omitempty"`
	DataCentre      string `json:"d,omitempty"`
}

// ViewChange is the difference between the view of Epoch and the one before it.
type ViewChange struct {
	Epoch   uint64     `json:"e"`
	Added   []Identity `json:"a,omitempty"`
	Removed []Identity `json:"r,omitempty"`
	// Left is the subset of Removed that has stopped granting permits: members
	// that left in order or were evicted by an operator.
	Left []Identity `json:"l,omitempty"`
}

// View is the membership of a cell at one epoch. It is immutable.
type View struct {
	Epoch uint64 `json:"e"`
	// Floor is the head revision at the time of the write of the view. For a daemon
	// with a lower revision, contact with a majority does not confirm the revision.
	Floor uint64 `json:"f,omitempty"`
	// Members is sorted by name.
	Members []Member `json:"m"`
	// Changes lists, in ascending order of epoch, the differences from which every
	// earlier view that a daemon may still use can be rebuilt. A writer drops a
	// change only when its own tracker knows that no daemon uses the earlier view.
	Changes []ViewChange `json:"h,omitempty"`
}

// Member returns the member with the given name.
func (v View) Member(name string) (Member, bool) {
	i, found := slices.BinarySearchFunc(v.Members, name, func(m Member, n string) int { return cmp.Compare(m.Name, n) })
	if !found {
		return Member{}, false
	}
	return v.Members[i], true
}

// Has reports whether the given incarnation of a daemon is a member.
func (v View) Has(id Identity) bool {
	m, ok := v.Member(id.Name)
	return ok && m.Identity == id
}

// Join returns the next view with the member added; it replaces a member of the same name.
func (v View) Join(m Member) View {
	change := ViewChange{Epoch: v.Epoch + 1, Added: []Identity{m.Identity}}
	members := slices.Clone(v.Members)
	if old, ok := v.Member(m.Name); ok {
		change.Removed = []Identity{old.Identity}
		members = slices.DeleteFunc(members, func(x Member) bool { return x.Name == m.Name })
	}
	members = append(members, m)
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return View{Epoch: v.Epoch + 1, Floor: v.Floor, Members: members, Changes: append(slices.Clone(v.Changes), change)}
}

// Remove returns the next view without the given members. voluntary marks them as
// having stopped granting and answering: the caller removes itself, or an operator
// states that their processes have ended.
func (v View) Remove(voluntary bool, ids ...Identity) View {
	change := ViewChange{Epoch: v.Epoch + 1, Removed: slices.Clone(ids)}
	if voluntary {
		change.Left = change.Removed
	}
	members := slices.DeleteFunc(slices.Clone(v.Members), func(m Member) bool { return slices.Contains(ids, m.Identity) })
	return View{Epoch: v.Epoch + 1, Floor: v.Floor, Members: members, Changes: append(slices.Clone(v.Changes), change)}
}

// Prune returns the view without the changes up to and including the given epoch.
func (v View) Prune(upTo uint64) View {
	changes := slices.DeleteFunc(slices.Clone(v.Changes), func(c ViewChange) bool { return c.Epoch <= upTo })
	return View{Epoch: v.Epoch, Floor: v.Floor, Members: v.Members, Changes: changes}
}

func (v View) identities() []Identity {
	out := make([]Identity, len(v.Members))
	for i, m := range v.Members {
		out[i] = m.Identity
	}
	return out
}

// earlierViews rebuilds the earlier views from Changes, newest first.
func (v View) earlierViews() []pastView {
	ids := v.identities()
	var out []pastView
	for _, c := range slices.Backward(v.Changes) {
		ids = slices.DeleteFunc(slices.Clone(ids), func(id Identity) bool { return slices.Contains(c.Added, id) })
		ids = append(ids, c.Removed...)
		slices.SortFunc(ids, func(a, b Identity) int { return cmp.Compare(a.Name, b.Name) })
		out = append(out, newPastView(c.Epoch-1, ids))
	}
	return out
}

// leftMembers returns the incarnations that the changes list as Left.
func (v View) leftMembers() map[Identity]bool {
	out := map[Identity]bool{}
	for _, c := range v.Changes {
		for _, id := range c.Left {
			out[id] = true
		}
	}
	return out
}

// ranking orders members for a key by rendezvous hashing of their names.
type ranking struct {
	ids    []Identity
	hashes []uint64
}

func newRanking(ids []Identity) ranking {
	hashes := make([]uint64, len(ids))
	for i, id := range ids {
		hashes[i] = xxhash.Sum64String(id.Name)
	}
	return ranking{ids: ids, hashes: hashes}
}

// score combines the two hashes with the SplitMix64 finaliser, so that the orders
// for different keys are independent.
func score(key, member uint64) uint64 {
	x := key ^ member
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// memberAt returns the member at the given rank (0 or 1) in the rendezvous order for
// the key.
func (r ranking) memberAt(key string, rank int) (Identity, bool) {
	if rank >= len(r.ids) {
		return Identity{}, false
	}
	hash := xxhash.Sum64String(key)
	first, second := -1, -1
	for i := range r.ids {
		s := score(hash, r.hashes[i])
		switch {
		case first < 0 || s < score(hash, r.hashes[first]):
			first, second = i, first
		case second < 0 || s < score(hash, r.hashes[second]):
			second = i
		}
	}
	if rank == 0 {
		return r.ids[first], true
	}
	return r.ids[second], true
}

// namesInOrder returns the names in rendezvous order for the key.
func (r ranking) namesInOrder(key string) []string {
	hash := xxhash.Sum64String(key)
	index := make([]int, len(r.ids))
	for i := range index {
		index[i] = i
	}
	slices.SortFunc(index, func(a, b int) int { return cmp.Compare(score(hash, r.hashes[a]), score(hash, r.hashes[b])) })
	names := make([]string, len(index))
	for i, j := range index {
		names[i] = r.ids[j].Name
	}
	return names
}
