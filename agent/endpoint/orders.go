package endpoint

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"github.com/pistachiowind/pistachiowind/rpc"
)

// fencingHeader carries the fencing number. Some engines reject an old number,
// others ignore the header; package gate checks the number itself and relies on
// neither.
const fencingHeader = "X-Fencing-Number"

var errNoOrders = errors.New("this endpoint takes no orders")

// engineOrder is the request body of an order to an engine.
type engineOrder struct {
	Model   string `json:"model,omitempty"`
	Adapter string `json:"lora_name,omitempty"`
	Version string `json:"version,omitempty"`
	Role    string `json:"role,omitempty"`
}

// Execute forwards an admitted order to the engine and waits for the response.
func (e *Engine) Execute(ctx context.Context, o *rpc.OrderRequest) error {
	path, order := routeAndBody(o)
	if path == "" {
		return errNoOrders
	}
	body, err := json.Marshal(order)
	if err != nil {
		return fmt.Errorf("encode the order: %w", err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, e.url+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(fencingHeader, strconv.FormatUint(o.GetFencingNumber(), 10))
	resp, err := e.runs.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBodyBytes))
		return fmt.Errorf("the engine answered %d: %s", resp.StatusCode, errorMessage(text))
	}
	return nil
}

// routeAndBody returns the engine's route and the request body for an order. LoRA
// adapters have routes of their own. The route is empty for an unknown order.
func routeAndBody(o *rpc.OrderRequest) (string, engineOrder) {
	switch k := o.GetOrder().(type) {
	case *rpc.OrderRequest_LoadModel:
		order := engineOrder{Model: k.LoadModel.GetModel(), Adapter: k.LoadModel.GetAdapter(), Version: k.LoadModel.GetVersion()}
		if order.Adapter != "" {
			return "/v1/load_lora_adapter", order
		}
		return "/models/load", order
	case *rpc.OrderRequest_UnloadModel:
		order := engineOrder{Model: k.UnloadModel.GetModel(), Adapter: k.UnloadModel.GetAdapter(), Version: k.UnloadModel.GetVersion()}
		if order.Adapter != "" {
			return "/v1/unload_lora_adapter", order
		}
		return "/models/unload", order
	case *rpc.OrderRequest_ChangeRole:
		return "/role", engineOrder{Role: k.ChangeRole.GetRole()}
	}
	return "", engineOrder{}
}

// Execute returns an error: a plain service takes no orders.
func (s *Service) Execute(context.Context, *rpc.OrderRequest) error { return errNoOrders }
