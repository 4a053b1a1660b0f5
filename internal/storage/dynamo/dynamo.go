// Package dynamo implements storage.Table over the DynamoDB protocol. The items have
// the string keys pk (partition) and sk (sort), the number ver (version) and the
// binary val (value).
package dynamo

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/aws/aws-sdk-go-v2/aws"
	awshttp "github.com/aws/aws-sdk-go-v2/aws/transport/http"
	"github.com/aws/aws-sdk-go-v2/credentials"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb/types"

	"github.com/rattanscale/rattanscale/internal/storage"
)

const (
	defaultDialTimeout = 300 * time.Millisecond
	defaultTimeout     = time.Second
)

// Settings configures a Table.
type Settings struct {
	URL       string
	TableName string
	Region    string
	AccessKey string
	SecretKey string
	// Timeout limits each call of a method (default 1 s).
	Timeout time.Duration
	// DialTimeout limits the dial of a connection (default 300 ms).
	DialTimeout time.Duration
}

// Table implements storage.Table. It is safe for concurrent use. Close
// releases its idle connections.
type Table struct {
	settings Settings
	http     *http.Client
	client   *dynamodb.Client
}

var _ storage.Table = (*Table)(nil)

// New returns a table. The SDK is configured not to retry: if the response to a write
// was lost, the retry would fail its condition and the write would look like a conflict.
func New(settings Settings) *Table {
	if settings.Timeout == 0 {
		settings.Timeout = defaultTimeout
	}
	if settings.DialTimeout == 0 {
		settings.DialTimeout = defaultDialTimeout
	}
	t := &Table{settings: settings, http: storage.NewHTTPClient(settings.DialTimeout)}
	t.client = dynamodb.New(dynamodb.Options{
		BaseEndpoint: aws.String(settings.URL),
		Region:       settings.Region,
		Credentials:  credentials.NewStaticCredentialsProvider(settings.AccessKey, settings.SecretKey, ""),
		HTTPClient:   t.http,
		Retryer:      aws.NopRetryer{},
	})
	return t
}

func (t *Table) Close() { t.http.CloseIdleConnections() }

func stringValue(s string) types.AttributeValue { return &types.AttributeValueMemberS{Value: s} }

func versionValue(v uint64) types.AttributeValue {
	return &types.AttributeValueMemberN{Value: strconv.FormatUint(v, 10)}
}

func keyValues(key storage.Key) map[string]types.AttributeValue {
	return map[string]types.AttributeValue{"pk": stringValue(key.Partition), "sk": stringValue(key.Sort)}
}

// Get returns the item with a strongly consistent read, or storage.ErrNotFound.
func (t *Table) Get(ctx context.Context, key storage.Key) (storage.Item, error) {
	ctx, cancel := context.WithTimeout(ctx, t.settings.Timeout)
	defer cancel()
	out, err := t.client.GetItem(ctx, &dynamodb.GetItemInput{
		TableName: &t.settings.TableName, Key: keyValues(key), ConsistentRead: aws.Bool(true),
	})
	if err != nil {
		return storage.Item{}, fmt.Errorf("%w: %w", storage.ErrUnavailable, err)
	}
	if len(out.Item) == 0 {
		return storage.Item{}, storage.ErrNotFound
	}
	return decodeItem(out.Item)
}

// Query returns the items in order, with strongly consistent reads. It reads pages
// until the limit or the end of the partition is reached.
func (t *Table) Query(ctx context.Context, partition, after string, limit int) ([]storage.Item, error) {
	ctx, cancel := context.WithTimeout(ctx, t.settings.Timeout)
	defer cancel()
	var items []storage.Item
	input := t.queryInput(partition, after)
	for len(items) < limit {
		input.Limit = aws.Int32(int32(min(limit-len(items), maxPageItems)))
		out, err := t.client.Query(ctx, input)
		if err != nil {
			return nil, fmt.Errorf("%w: %w", storage.ErrUnavailable, err)
		}
		for _, values := range out.Items {
			item, err := decodeItem(values)
			if err != nil {
				return nil, err
			}
			items = append(items, item)
		}
		if len(out.LastEvaluatedKey) == 0 {
			break
		}
		input.ExclusiveStartKey = out.LastEvaluatedKey
	}
	return items, nil
}

const maxPageItems = 1000

// queryInput omits the lower bound if it is empty, because the protocol does not allow
// empty key values.
func (t *Table) queryInput(partition, after string) *dynamodb.QueryInput {
	condition := "pk = :p"
	values := map[string]types.AttributeValue{":p": stringValue(partition)}
	if after != "" {
		condition += " AND sk > :after"
		values[":after"] = stringValue(after)
	}
	return &dynamodb.QueryInput{
		TableName: &t.settings.TableName, KeyConditionExpression: &condition,
		ExpressionAttributeValues: values, ConsistentRead: aws.Bool(true),
	}
}

func decodeItem(values map[string]types.AttributeValue) (storage.Item, error) {
	pk, okPK := values["pk"].(*types.AttributeValueMemberS)
	sk, okSK := values["sk"].(*types.AttributeValueMemberS)
	ver, okVer := values["ver"].(*types.AttributeValueMemberN)
	val, okVal := values["val"].(*types.AttributeValueMemberB)
	if !okPK || !okSK || !okVer || !okVal {
		return storage.Item{}, errors.New("table item lacks pk, sk, ver or val; remedy: do not let other programs write to the table")
	}
	version, err := strconv.ParseUint(ver.Value, 10, 64)
	if err != nil {
		return storage.Item{}, fmt.Errorf("invalid version of table item %s/%s: %w", pk.Value, sk.Value, err)
	}
	return storage.Item{
		Key: storage.Key{Partition: pk.Value, Sort: sk.Value}, Version: version, Value: val.Value,
	}, nil
}

// Commit applies the writes as one transaction.
func (t *Table) Commit(ctx context.Context, writes ...storage.Write) error {
	if err := storage.CheckWrites(writes); err != nil {
		return err
	}
	input := &dynamodb.TransactWriteItemsInput{TransactItems: make([]types.TransactWriteItem, len(writes))}
	for i, w := range writes {
		input.TransactItems[i] = t.transactItem(w)
	}
	ctx, cancel := context.WithTimeout(ctx, t.settings.Timeout)
	defer cancel()
	var tracker storage.SendTracker
	_, err := t.client.TransactWriteItems(tracker.WithTrace(ctx), input)
	return commitError(&tracker, err)
}

func (t *Table) transactItem(w storage.Write) types.TransactWriteItem {
	condition := aws.String("ver = :v")
	values := map[string]types.AttributeValue{":v": versionValue(w.ExpectedVersion)}
	if w.ExpectedVersion == 0 {
		condition, values = aws.String("attribute_not_exists(pk)"), nil
	}
	table, key := &t.settings.TableName, keyValues(w.Key)
	switch w.Kind {
	case storage.Delete:
		return types.TransactWriteItem{Delete: &types.Delete{
			TableName: table, Key: key, ConditionExpression: condition, ExpressionAttributeValues: values,
		}}
	case storage.Check:
		return types.TransactWriteItem{ConditionCheck: &types.ConditionCheck{
			TableName: table, Key: key, ConditionExpression: condition, ExpressionAttributeValues: values,
		}}
	default:
		key["ver"] = versionValue(w.ExpectedVersion + 1)
		key["val"] = &types.AttributeValueMemberB{Value: append([]byte{}, w.Value...)}
		return types.TransactWriteItem{Put: &types.Put{
			TableName: table, Item: key, ConditionExpression: condition, ExpressionAttributeValues: values,
		}}
	}
}

// commitError maps the error of a transaction to an error of package storage. A
// response with a 4xx status proves that nothing was written, unless it reports that
// the transaction is still in progress.
func commitError(tracker *storage.SendTracker, err error) error {
	if err == nil {
		return nil
	}
	var cancelled *types.TransactionCanceledException
	if errors.As(err, &cancelled) {
		for _, reason := range cancelled.CancellationReasons {
			if aws.ToString(reason.Code) == "ConditionalCheckFailed" {
				return fmt.Errorf("%w: %w", storage.ErrConflict, err)
			}
		}
		return fmt.Errorf("%w: %w", storage.ErrUnavailable, err)
	}
	var inProgress *types.TransactionInProgressException
	var response *awshttp.ResponseError
	if errors.As(err, &response) && response.HTTPStatusCode()/100 == 4 && !errors.As(err, &inProgress) {
		return fmt.Errorf("%w: %w", storage.ErrUnavailable, err)
	}
	return tracker.ClassifyError(err)
}
