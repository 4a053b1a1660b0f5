package changelog

import (
	"context"
	"errors"
	"maps"
	"slices"
	"strings"
	"sync"

	"github.com/rattanscale/rattanscale/internal/entity"
	"github.com/rattanscale/rattanscale/internal/storage"
)

// fakeTable is an in-memory table with fault injection. beforeCommit runs once, before the
// next Commit and without the lock, and simulates a concurrent writer.
type fakeTable struct {
	mu           sync.Mutex
	items        map[storage.Key]storage.Item
	unavailable  bool
	loseAnswers  int // number of commits that take effect but report an unknown outcome
	loseWrites   int // number of commits that report an unknown outcome and have no effect
	beforeCommit func()
	reads        int
}

func newFakeTable() *fakeTable { return &fakeTable{items: map[storage.Key]storage.Item{}} }

func (f *fakeTable) Get(_ context.Context, key storage.Key) (storage.Item, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reads++
	if f.unavailable {
		return storage.Item{}, storage.ErrUnavailable
	}
	item, ok := f.items[key]
	if !ok {
		return storage.Item{}, storage.ErrNotFound
	}
	return item, nil
}

func (f *fakeTable) Query(_ context.Context, partition, after string, limit int) ([]storage.Item, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reads++
	if f.unavailable {
		return nil, storage.ErrUnavailable
	}
	var out []storage.Item
	for _, item := range slices.SortedFunc(maps.Values(f.items), func(a, b storage.Item) int { return strings.Compare(a.Key.Sort, b.Key.Sort) }) {
		if item.Key.Partition == partition && item.Key.Sort > after && len(out) < limit {
			out = append(out, item)
		}
	}
	return out, nil
}

func (f *fakeTable) Commit(_ context.Context, writes ...storage.Write) error {
	if before := f.beforeCommit; before != nil {
		f.beforeCommit = nil
		before()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case f.unavailable:
		return storage.ErrUnavailable
	case f.loseWrites > 0:
		f.loseWrites--
		return storage.ErrOutcomeUnknown
	}
	for _, w := range writes {
		if f.items[w.Key].Version != w.ExpectedVersion {
			return storage.ErrConflict
		}
	}
	for _, w := range writes {
		if w.Kind == storage.Put {
			f.items[w.Key] = storage.Item{Key: w.Key, Version: w.ExpectedVersion + 1, Value: w.Value}
		}
	}
	if f.loseAnswers > 0 {
		f.loseAnswers--
		return storage.ErrOutcomeUnknown
	}
	return nil
}

type fakeObjects map[string][]byte

func (f fakeObjects) Put(_ context.Context, name string, body []byte) error {
	f[name] = body
	return nil
}

func (f fakeObjects) Get(_ context.Context, name string) ([]byte, error) {
	body, ok := f[name]
	if !ok {
		return nil, storage.ErrNotFound
	}
	return body, nil
}

// parseFake is a Parser of texts of the form "dc1,dc2 padding". The result always has one
// service with two versions.
func parseFake(text string) (*entity.ServiceText, error) {
	if text == "bad" {
		return nil, errors.New("bad text")
	}
	names, _, _ := strings.Cut(text, " ")
	return &entity.ServiceText{
		DataCentres: strings.Split(names, ","),
		Services:    []entity.Service{{Name: "narration", Versions: []entity.Version{{Name: "v1"}, {Name: "v2"}}}},
	}, nil
}
