// Package s3 implements storage.ObjectStore over the S3 protocol with path-style URLs.
package s3

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/aws/retry"
	awshttp "github.com/aws/aws-sdk-go-v2/aws/transport/http"
	"github.com/aws/aws-sdk-go-v2/credentials"
	"github.com/aws/aws-sdk-go-v2/service/s3"

	"github.com/rattanscale/rattanscale/internal/storage"
)

const (
	dialTimeout    = 300 * time.Millisecond
	defaultTimeout = 5 * time.Second
	maxAttempts    = 3
	maxBackoff     = 300 * time.Millisecond
	// maxObjectBytes limits the bodies that Get reads into memory.
	maxObjectBytes = 64 << 20
)

var errTooLarge = errors.New("object exceeds the size limit")

// Settings configures Objects.
type Settings struct {
	URL       string
	Bucket    string
	Region    string
	AccessKey string
	SecretKey string
	// Timeout limits each call of a method including its retries (default 5 s).
	Timeout time.Duration
}

// Objects implements storage.ObjectStore. It is safe for concurrent use. Close
// releases its idle connections.
type Objects struct {
	settings Settings
	http     *http.Client
	client   *s3.Client
}

var _ storage.ObjectStore = (*Objects)(nil)

// New returns an object store. Requests are retried, because objects are immutable and
// storing one twice changes nothing.
func New(settings Settings) *Objects {
	if settings.Timeout == 0 {
		settings.Timeout = defaultTimeout
	}
	o := &Objects{settings: settings, http: storage.NewHTTPClient(dialTimeout)}
	o.client = s3.New(s3.Options{
		BaseEndpoint: aws.String(settings.URL),
		UsePathStyle: true,
		Region:       settings.Region,
		Credentials:  credentials.NewStaticCredentialsProvider(settings.AccessKey, settings.SecretKey, ""),
		HTTPClient:   o.http,
		Retryer: retry.NewStandard(func(r *retry.StandardOptions) {
			r.MaxAttempts, r.MaxBackoff = maxAttempts, maxBackoff
		}),
		RequestChecksumCalculation: aws.RequestChecksumCalculationWhenRequired,
		ResponseChecksumValidation: aws.ResponseChecksumValidationWhenRequired,
	})
	return o
}

func (o *Objects) Close() { o.http.CloseIdleConnections() }

// Put stores the body. After storage.ErrOutcomeUnknown it may have been stored; the
// caller can retry.
func (o *Objects) Put(ctx context.Context, name string, body []byte) error {
	ctx, cancel := context.WithTimeout(ctx, o.settings.Timeout)
	defer cancel()
	var tracker storage.SendTracker
	_, err := o.client.PutObject(tracker.WithTrace(ctx), &s3.PutObjectInput{
		Bucket: &o.settings.Bucket, Key: &name, Body: bytes.NewReader(body),
	})
	if err != nil {
		return tracker.ClassifyError(err)
	}
	return nil
}

// Get returns the body, or storage.ErrNotFound.
func (o *Objects) Get(ctx context.Context, name string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, o.settings.Timeout)
	defer cancel()
	out, err := o.client.GetObject(ctx, &s3.GetObjectInput{Bucket: &o.settings.Bucket, Key: &name})
	var response *awshttp.ResponseError
	if errors.As(err, &response) && response.HTTPStatusCode() == http.StatusNotFound {
		return nil, storage.ErrNotFound
	}
	if err != nil {
		return nil, fmt.Errorf("%w: %w", storage.ErrUnavailable, err)
	}
	defer func() { _ = out.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(out.Body, maxObjectBytes+1))
	if err == nil && len(body) > maxObjectBytes {
		err = errTooLarge
	}
	if err != nil {
		return nil, fmt.Errorf("%w: %w", storage.ErrUnavailable, err)
	}
	return body, nil
}
