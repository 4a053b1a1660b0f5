package frontend

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/rattanscale/rattanscale/internal/gateway"
)

// maxWhereTokens bounds the sizes in a query; larger generations exceed any engine.
const maxWhereTokens = 100_000_000

// serveWhere answers where the request that the query describes would go now.
func (f *FrontEnd) serveWhere(w http.ResponseWriter, r *http.Request) {
	query, err := parseWhere(r.URL.Query())
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(f.gateway.Where(query, time.Now())) // the operator has gone
}

func parseWhere(values url.Values) (gateway.WhereQuery, error) {
	q := gateway.WhereQuery{HostName: values.Get("host"), Path: values.Get("path"), Account: values.Get("account"), Upstreams: 5}
	if q.HostName == "" || q.Path == "" {
		return q, fmt.Errorf("the query needs host and path, which select the route")
	}
	for name, field := range map[string]*int{"prompt": &q.PromptTokens, "answer": &q.OutputTokens, "upstreams": &q.Upstreams} {
		text := values.Get(name)
		if text == "" {
			continue
		}
		n, err := strconv.Atoi(text)
		if err != nil || n < 0 || n > maxWhereTokens {
			return q, fmt.Errorf("invalid %s %q; use a number from 0 to %d", name, text, maxWhereTokens)
		}
		*field = n
	}
	return q, nil
}
