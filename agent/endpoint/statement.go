package endpoint

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync/atomic"
	"time"
)

// modelStatementTimeout is how long an engine may take to list its models beside a run. A later
// answer is ignored.
const modelStatementTimeout = time.Second

var errConnectionUsed = errors.New("endpoint: a second connection would lead to another process")

// statement is the model that the process of one run states. A nil statement names none.
//
// The engine is asked on a connection that was open before that of the run was opened. The process
// that answers was at the engine's address from before until after the run got its connection, so
// that it is the process of the run.
type statement struct {
	answered chan struct{}
	// model is set before answered is closed; empty if the process states none.
	model string
}

// known returns the model that the process has stated so far.
func (s *statement) known() string {
	if s == nil {
		return ""
	}
	select {
	case <-s.answered:
		return s.model
	default:
		return ""
	}
}

// wait returns the model that the process states, after modelStatementTimeout at the latest.
func (s *statement) wait() string {
	if s == nil {
		return ""
	}
	<-s.answered
	return s.model
}

// processConnections opens two connections to the engine, one after the other: on the first the
// process is asked for its models, on the second it runs a request.
func (e *Engine) processConnections(ctx context.Context) (question, run net.Conn, err error) {
	if question, err = e.dial(ctx, "tcp", e.address); err != nil {
		return nil, nil, err
	}
	if run, err = e.dial(ctx, "tcp", e.address); err != nil {
		question.Close()
		return nil, nil, err
	}
	return question, run, nil
}

// ask asks the process behind a connection which model a request for the wanted one gets, and
// closes the connection. The connection of the run must be open.
func (e *Engine) ask(ctx context.Context, c net.Conn, wanted string) *statement {
	s := &statement{answered: make(chan struct{})}
	go func() {
		defer close(s.answered)
		defer c.Close()
		ctx, cancel := context.WithTimeout(ctx, modelStatementTimeout)
		defer cancel()
		listed, err := listModels(ctx, clientOver(c), e.url)
		if err == nil && ctx.Err() == nil {
			s.model = e.statedModel(listed, wanted)
		}
	}()
	return s
}

// statedModel returns the model that a request for the wanted one gets according to the engine's
// list. A configured list that names another one makes it unknown.
func (e *Engine) statedModel(listed []string, wanted string) string {
	stated := servedModel(listed, wanted)
	if len(e.configured) > 0 && servedModel(e.configured, wanted) != stated {
		return ""
	}
	return stated
}

// servedModel returns the one of the models, with its version if it has one, that a request for the
// wanted model gets; empty if there is none or several.
func servedModel(models []string, wanted string) string {
	unversioned, served := "", ""
	for _, m := range models {
		name, _, versioned := strings.Cut(m, ":")
		switch {
		case m != wanted && name != wanted || wanted == "":
		case !versioned:
			unversioned = m
		case served != "" && served != m:
			return ""
		default:
			served = m
		}
	}
	if served != "" {
		return served
	}
	return unversioned
}

// listModels returns the ids of the models that an engine lists.
func listModels(ctx context.Context, client *http.Client, baseURL string) ([]string, error) {
	resp, err := get(ctx, client, baseURL+"/v1/models")
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	var list struct {
		Data []struct {
			ID string `json:"id"`
		} `json:"data"`
	}
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxModelsBodyBytes))
	if err == nil {
		err = json.Unmarshal(text, &list)
	}
	if err != nil {
		return nil, fmt.Errorf("read the engine's models: %w", err)
	}
	models := make([]string, 0, len(list.Data))
	for _, m := range list.Data {
		models = append(models, m.ID)
	}
	return models, nil
}

// clientOver returns a client that sends one request on an open connection.
func clientOver(c net.Conn) *http.Client {
	transport := newTransport(false)
	var used atomic.Bool
	transport.DialContext = func(context.Context, string, string) (net.Conn, error) {
		if used.Swap(true) {
			return nil, errConnectionUsed
		}
		return c, nil
	}
	return &http.Client{Transport: transport}
}

// dialAddress returns the host and port of a base URL; empty if it is not valid.
func dialAddress(baseURL string) string {
	u, err := url.Parse(baseURL)
	if err != nil {
		return ""
	}
	port := u.Port()
	if port == "" && u.Scheme == "https" {
		port = "443"
	} else if port == "" {
		port = "80"
	}
	return net.JoinHostPort(u.Hostname(), port)
}
