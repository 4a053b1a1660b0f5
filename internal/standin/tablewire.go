package standin

import (
	"encoding/json"
	"net/http"
	"strconv"
)

// The types below are JSON types of the DynamoDB protocol, version 20120810.

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

func (a attributes) itemKey(table string) tableKey {
	return tableKey{table, a["pk"].text(), a["sk"].text()}
}

func (a attributes) sizeBytes() int {
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

// parseWrites validates the transaction and returns its operations.
func (in transactInput) parseWrites() ([]tableWrite, *dynamoError) {
	if n := len(in.TransactItems); n == 0 || n > maxTransactItems {
		return nil, validationError("a transaction needs 1 to 100 items")
	}
	writes := make([]tableWrite, 0, len(in.TransactItems))
	seen := map[tableKey]bool{}
	for _, item := range in.TransactItems {
		w, protocolErr := item.parseWrite()
		if protocolErr != nil {
			return nil, protocolErr
		}
		if seen[w.key] {
			return nil, validationError("a transaction cannot include multiple operations on one item")
		}
		seen[w.key] = true
		writes = append(writes, w)
	}
	return writes, nil
}

func (i transactItem) parseWrite() (tableWrite, *dynamoError) {
	var w tableWrite
	var operation *transactOperation
	switch {
	case i.Put != nil:
		operation, w.item = i.Put, i.Put.Item
		w.key = i.Put.Item.itemKey(i.Put.TableName)
	case i.Delete != nil:
		operation, w.isDelete = i.Delete, true
		w.key = i.Delete.Key.itemKey(i.Delete.TableName)
	case i.ConditionCheck != nil:
		operation = i.ConditionCheck
		w.key = i.ConditionCheck.Key.itemKey(i.ConditionCheck.TableName)
	default:
		return w, validationError("an item of the transaction has no operation")
	}
	if w.key.partition == "" || w.key.sort == "" || w.item.sizeBytes() > maxItemBytes {
		return w, validationError("key attributes must not be empty and items not exceed 400 KB")
	}
	return w.withCondition(operation)
}

func (w tableWrite) withCondition(operation *transactOperation) (tableWrite, *dynamoError) {
	switch operation.ConditionExpression {
	case "attribute_not_exists(pk)":
		w.mustNotExist = true
		return w, nil
	case "ver = :v":
		version, err := strconv.ParseUint(operation.Values[":v"].N, 10, 64)
		if err != nil {
			return w, validationError(err.Error())
		}
		w.expectedVersion = version
		return w, nil
	}
	return w, validationError("unsupported condition " + operation.ConditionExpression)
}

type cancelReason struct{ Code string }

type dynamoError struct {
	Type    string         `json:"__type"`
	Message string         `json:"message"`
	Reasons []cancelReason `json:"CancellationReasons,omitempty"`
}

func validationError(message string) *dynamoError {
	return &dynamoError{Type: "ValidationException", Message: message}
}

func throttlingError() *dynamoError {
	return &dynamoError{Type: "ProvisionedThroughputExceededException", Message: "the rate limit was exceeded"}
}

func writeDynamoError(w http.ResponseWriter, e *dynamoError) {
	e.Type = "com.amazonaws.dynamodb.v20120810#" + e.Type
	w.Header().Set("Content-Type", "application/x-amz-json-1.0")
	w.WriteHeader(http.StatusBadRequest)
	_ = json.NewEncoder(w).Encode(e)
}
