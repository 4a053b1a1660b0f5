package standin

import (
	"encoding/json"
	"net/http"
	"strconv"
)

// The types below are the JSON forms of the DynamoDB protocol, version 20120810.

type attribute struct {
	S *string `json:"S,omitempty"`
	N string  `json:"N,omitempty"`
	B *[]byte `json:"B,omitempty"`
}

func (a attribute) text() string {
	if a.S == nil {
		return ""
	}
	return *a.S
}

type attributes map[string]attribute

func (a attributes) key(table string) tableKey {
	return tableKey{table, a["pk"].text(), a["sk"].text()}
}

func (a attributes) size() int {
	total := 0
	for name, value := range a {
		total += len(name) + len(value.text()) + len(value.N)
		if value.B != nil {
			total += len(*value.B)
		}
	}
	return total
}

type getItemInput struct {
	TableName string
	Key       attributes
}

type getItemOutput struct {
	Item attributes `json:",omitempty"`
}

type queryInput struct {
	TableName              string
	KeyConditionExpression string
	Values                 attributes `json:"ExpressionAttributeValues"`
	ExclusiveStartKey      attributes
	Limit                  int
}

type queryOutput struct {
	Items            []attributes
	Count            int
	LastEvaluatedKey attributes `json:",omitempty"`
}

type transactInput struct {
	TransactItems []transactItem
}

type transactItem struct {
	Put            *transactOperation
	Delete         *transactOperation
	ConditionCheck *transactOperation
}

type transactOperation struct {
	TableName           string
	Item                attributes // of Put
	Key                 attributes // of Delete and ConditionCheck
	ConditionExpression string
	Values              attributes `json:"ExpressionAttributeValues"`
}

// writes checks the transaction as a whole.
func (in transactInput) writes() ([]tableWrite, *dynamoError) {
	if n := len(in.TransactItems); n == 0 || n > maxTransactItems {
		return nil, invalid("a transaction needs 1 to 100 items")
	}
	writes := make([]tableWrite, 0, len(in.TransactItems))
	seen := map[tableKey]bool{}
	for _, item := range in.TransactItems {
		w, failed := item.write()
		if failed != nil {
			return nil, failed
		}
		if seen[w.key] {
			return nil, invalid("a transaction cannot include multiple operations on one item")
		}
		seen[w.key] = true
		writes = append(writes, w)
	}
	return writes, nil
}

func (i transactItem) write() (tableWrite, *dynamoError) {
	var w tableWrite
	var operation *transactOperation
	switch {
	case i.Put != nil:
		operation, w.item = i.Put, i.Put.Item
		w.key = i.Put.Item.key(i.Put.TableName)
	case i.Delete != nil:
		operation, w.remove = i.Delete, true
		w.key = i.Delete.Key.key(i.Delete.TableName)
	case i.ConditionCheck != nil:
		operation = i.ConditionCheck
		w.key = i.ConditionCheck.Key.key(i.ConditionCheck.TableName)
	default:
		return w, invalid("an item of the transaction has no operation")
	}
	if w.key.partition == "" || w.key.sort == "" || w.item.size() > maxItemBytes {
		return w, invalid("key attributes must not be empty and items not exceed 400 KB")
	}
	return w.withCondition(operation)
}

func (w tableWrite) withCondition(operation *transactOperation) (tableWrite, *dynamoError) {
	switch operation.ConditionExpression {
	case "attribute_not_exists(pk)":
		w.absent = true
		return w, nil
	case "ver = :v":
		version, err := strconv.ParseUint(operation.Values[":v"].N, 10, 64)
		if err != nil {
			return w, invalid(err.Error())
		}
		w.version = version
		return w, nil
	}
	return w, invalid("unsupported condition " + operation.ConditionExpression)
}

type cancelReason struct{ Code string }

type dynamoError struct {
	Type    string         `json:"__type"`
	Message string         `json:"message"`
	Reasons []cancelReason `json:"CancellationReasons,omitempty"`
}

func invalid(message string) *dynamoError {
	return &dynamoError{Type: "ValidationException", Message: message}
}

func throttled() *dynamoError {
	return &dynamoError{Type: "ProvisionedThroughputExceededException", Message: "the rate limit was exceeded"}
}

func writeDynamoError(w http.ResponseWriter, e *dynamoError) {
	e.Type = "com.amazonaws.dynamodb.v20120810#" + e.Type
	w.Header().Set("Content-Type", "application/x-amz-json-1.0")
	w.WriteHeader(http.StatusBadRequest)
	_ = json.NewEncoder(w).Encode(e)
}
