package storage_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/rattanscale/rattanscale/internal/standin"
	"github.com/rattanscale/rattanscale/internal/storage"
	"github.com/rattanscale/rattanscale/internal/storage/dynamo"
	"github.com/rattanscale/rattanscale/internal/storage/hostlist"
	"github.com/rattanscale/rattanscale/internal/storage/memory"
	"github.com/rattanscale/rattanscale/internal/storage/s3"
)

const unreachableURL = "http://127.0.0.1:1"

func startServer(t *testing.T, handler http.Handler) string {
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return server.URL
}

func newDynamo(t *testing.T, url string, timeout time.Duration) *dynamo.Table {
	table := dynamo.New(dynamo.Settings{
		URL: url, TableName: "t", Region: "local", AccessKey: "a", SecretKey: "s", Timeout: timeout, DialTimeout: timeout,
	})
	t.Cleanup(table.Close)
	return table
}

// generousTimeout is long enough that a busy machine does not make tests fail.
const generousTimeout = 30 * time.Second

// tableCase is one implementation of storage.Table with functions that inject faults.
type tableCase struct {
	storage.Table
	injectLostAnswers func(count int)
	injectDown        func()
}

func tables(t *testing.T) map[string]tableCase {
	memoryTable := memory.NewTable()
	tableService := standin.NewTable(standin.TableSettings{PageItems: 3})
	return map[string]tableCase{
		"memory": {
			memoryTable, func(n int) { memoryTable.SetFault(memory.FaultLoseResponse, n) }, func() { memoryTable.SetFault(memory.FaultDown, 0) },
		},
		"dynamo": {
			newDynamo(t, startServer(t, tableService.Handler()), generousTimeout),
			func(n int) { tableService.SetFault(standin.Fault{Kind: standin.FaultLoseAnswer, Count: n}) },
			func() { tableService.SetFault(standin.Fault{Kind: standin.FaultDown}) },
		},
	}
}

func put(sort string, expect uint64, value string) storage.Write {
	return storage.Write{Key: storage.Key{Partition: "p", Sort: sort}, ExpectedVersion: expect, Value: []byte(value)}
}

// Guards against implementations that differ in conditions, versions, order or paging.
func TestTableConformance(t *testing.T) {
	for name, table := range tables(t) {
		t.Run(name, func(t *testing.T) {
			ctx := t.Context()
			_, err := table.Get(ctx, storage.Key{Partition: "p", Sort: "none"})
			require.ErrorIs(t, err, storage.ErrNotFound)
			for i := range 10 {
				require.NoError(t, table.Commit(ctx, put(fmt.Sprintf("k%02d", i), 0, "v")))
			}
			require.NoError(t, table.Commit(ctx, put("k00", 1, ""), storage.Write{
				Kind: storage.Delete, Key: storage.Key{Partition: "p", Sort: "k09"}, ExpectedVersion: 1,
			}))
			item, err := table.Get(ctx, storage.Key{Partition: "p", Sort: "k00"})
			require.NoError(t, err)
			assert.Equal(t, uint64(2), item.Version)
			assert.Empty(t, item.Value)

			items, err := table.Query(ctx, "p", "k01", 5)
			require.NoError(t, err)
			require.Len(t, items, 5)
			assert.Equal(t, "k02", items[0].Key.Sort)
			assert.Equal(t, "k06", items[4].Key.Sort)
			items, err = table.Query(ctx, "p", "", 100)
			require.NoError(t, err)
			assert.Len(t, items, 9)
		})
	}
}

// Guards against a transaction that is partly applied when one of its conditions fails.
func TestTableTransactionsAreAtomic(t *testing.T) {
	for name, table := range tables(t) {
		t.Run(name, func(t *testing.T) {
			ctx := t.Context()
			require.NoError(t, table.Commit(ctx, put("head", 0, "1")))
			err := table.Commit(ctx, put("entry", 0, "x"), put("head", 0, "2"))
			require.ErrorIs(t, err, storage.ErrConflict)
			check := storage.Write{Kind: storage.Check, Key: put("head", 0, "").Key, ExpectedVersion: 2}
			require.ErrorIs(t, table.Commit(ctx, put("entry", 0, "x"), check), storage.ErrConflict)
			_, err = table.Get(ctx, put("entry", 0, "").Key)
			require.ErrorIs(t, err, storage.ErrNotFound)
			check.ExpectedVersion = 1
			require.NoError(t, table.Commit(ctx, put("entry", 0, "x"), check))
			assert.ErrorIs(t, table.Commit(ctx, put("a", 0, ""), put("a", 0, "")), storage.ErrInvalidWrite)
		})
	}
}

// Guards against a write whose response was lost being reported as a conflict or as not
// written.
func TestTableReportsLostResponsesAsUnknown(t *testing.T) {
	for name, table := range tables(t) {
		t.Run(name, func(t *testing.T) {
			ctx := t.Context()
			table.injectLostAnswers(1)
			require.ErrorIs(t, table.Commit(ctx, put("a", 0, "mine")), storage.ErrOutcomeUnknown)
			item, err := table.Get(ctx, put("a", 0, "").Key)
			require.NoError(t, err)
			assert.Equal(t, "mine", string(item.Value))
			require.NoError(t, table.Commit(ctx, put("a", 1, "next")))
			table.injectDown()
			_, err = table.Get(ctx, put("a", 0, "").Key)
			assert.ErrorIs(t, err, storage.ErrUnavailable)
			_, err = table.Query(ctx, "p", "", 1)
			assert.ErrorIs(t, err, storage.ErrUnavailable)
		})
	}
}

// Guards against reporting an unknown outcome although nothing was written, and against
// reporting that nothing was written although the write was sent.
func TestDynamoReportsWhetherWriteWasSent(t *testing.T) {
	ctx := t.Context()
	err := newDynamo(t, unreachableURL, generousTimeout).Commit(ctx, put("a", 0, ""))
	assert.ErrorIs(t, err, storage.ErrUnavailable)

	throttled := standin.NewTable(standin.TableSettings{WritesPerSecond: 1e-9})
	table := newDynamo(t, startServer(t, throttled.Handler()), generousTimeout)
	for i := range 100 { // the burst size of the throttle
		require.NoError(t, table.Commit(ctx, put(fmt.Sprint("k", i), 0, "")))
	}
	assert.ErrorIs(t, table.Commit(ctx, put("a", 0, "")), storage.ErrUnavailable)

	unresponsive := standin.NewTable(standin.TableSettings{})
	unresponsive.SetFault(standin.Fault{Kind: standin.FaultFreeze})
	ctx, cancelRequest := context.WithCancel(ctx)
	url := startServer(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		cancelRequest()
		unresponsive.Handler().ServeHTTP(w, r)
	}))
	err = newDynamo(t, url, generousTimeout).Commit(ctx, put("a", 0, ""))
	assert.ErrorIs(t, err, storage.ErrOutcomeUnknown)
}

// Guards against differences between the in-memory table and the DynamoDB adapter: the
// same random transactions must have the same results on both.
func TestTableImplementationsAgree(t *testing.T) {
	url := startServer(t, standin.NewTable(standin.TableSettings{PageItems: 2}).Handler())
	dynamoTable := newDynamo(t, url, generousTimeout)
	runCount := 0
	rapid.Check(t, func(rt *rapid.T) {
		runCount++
		partition := fmt.Sprint("run", runCount)
		memoryTable := memory.NewTable()
		write := rapid.Custom(func(rt *rapid.T) storage.Write {
			return storage.Write{
				Kind:            rapid.SampledFrom([]storage.WriteKind{storage.Put, storage.Delete, storage.Check}).Draw(rt, "kind"),
				Key:             storage.Key{Partition: partition, Sort: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "sort")},
				ExpectedVersion: rapid.Uint64Range(0, 2).Draw(rt, "expect"),
				Value:           rapid.SliceOfN(rapid.Byte(), 1, 3).Draw(rt, "value"),
			}
		})
		for _, writes := range rapid.SliceOfN(rapid.SliceOfN(write, 1, 3), 1, 8).Draw(rt, "transactions") {
			require.Equal(rt, errorKind(memoryTable.Commit(t.Context(), writes...)), errorKind(dynamoTable.Commit(t.Context(), writes...)))
		}
		want, _ := memoryTable.Query(t.Context(), partition, "", 10)
		got, err := dynamoTable.Query(t.Context(), partition, "", 10)
		require.NoError(rt, err)
		require.Equal(rt, want, got)
	})
}

func errorKind(err error) error {
	for _, kind := range []error{storage.ErrConflict, storage.ErrInvalidWrite} {
		if errors.Is(err, kind) {
			return kind
		}
	}
	return err
}

// Guards against object stores that alter a body or do not report a missing object.
func TestObjectStoreConformance(t *testing.T) {
	service := standin.NewObjects()
	newS3 := func(url string) *s3.Objects {
		o := s3.New(s3.Settings{URL: url, Bucket: "b", Region: "local", AccessKey: "a", SecretKey: "s"})
		t.Cleanup(o.Close)
		return o
	}
	remote := newS3(startServer(t, service.Handler()))
	body := bytes.Repeat([]byte("rounds\n"), 100_000)
	for _, store := range []storage.ObjectStore{memory.NewObjects(), remote} {
		_, err := store.Get(t.Context(), "texts/1")
		require.ErrorIs(t, err, storage.ErrNotFound)
		require.NoError(t, store.Put(t.Context(), "texts/1", body))
		got, err := store.Get(t.Context(), "texts/1")
		require.NoError(t, err)
		require.Equal(t, body, got)
	}
	assert.ErrorIs(t, newS3(unreachableURL).Put(t.Context(), "x", nil), storage.ErrUnavailable)
	service.SetFault(standin.Fault{Kind: standin.FaultLoseAnswer})
	assert.ErrorIs(t, remote.Put(t.Context(), "x", nil), storage.ErrOutcomeUnknown)
	service.SetFault(standin.Fault{Kind: standin.FaultDown})
	_, err := remote.Get(t.Context(), "texts/1")
	assert.ErrorIs(t, err, storage.ErrUnavailable)
}

// Guards against an outage of the host list being reported as an empty list.
func TestHostListConformance(t *testing.T) {
	want := []storage.ListedHost{{Name: "h1", Address: "127.0.0.1:7001"}, {Name: "h2", Leaving: true}}
	service := standin.NewHostList(0, nil)
	remote := hostlist.New(startServer(t, service.Handler()))
	t.Cleanup(remote.Close)
	service.Set(want)
	for _, list := range []storage.HostList{memory.NewHosts(want...), remote} {
		got, err := list.Hosts(context.Background())
		require.NoError(t, err)
		assert.Equal(t, want, got)
	}
	service.SetFault(standin.Fault{Kind: standin.FaultDown})
	_, err := remote.Hosts(context.Background())
	assert.ErrorIs(t, err, storage.ErrUnavailable)
}
