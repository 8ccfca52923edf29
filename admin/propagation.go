package admin

import (
	"context"
	"net/http"
	"strconv"

	"github.com/labstack/echo/v4"

	"github.com/pistachiowind/pistachiowind/resultcode"
)

// PropagationSource asks every known process which catalog version is in force in
// it.
type PropagationSource interface {
	Propagation(ctx context.Context, version uint64) Propagation
}

// Propagation is the response of GET /v1/propagation.
type Propagation struct {
	Version uint64 `json:"version"`
	// InForce is the number of processes in which this or a higher version is in
	// force.
	InForce int `json:"in_force"`
	// Lagging lists the processes with a lower version and those that did not
	// respond.
	Lagging []LaggingProcess `json:"lagging"`
}

// LaggingProcess is a process in which the requested version is not known to be in force.
type LaggingProcess struct {
	Name string `json:"name"`
	// Version is the one in force in the process; zero if it did not respond.
	Version uint64 `json:"version"`
}

func (s *Server) propagation(c echo.Context) error {
	version, err := strconv.ParseUint(c.QueryParam("version"), 10, 64)
	if err != nil {
		return resultcode.New(resultcode.MalformedBody, "query version is %q; allowed: a catalog version", c.QueryParam("version"))
	}
	return c.JSON(http.StatusOK, s.options.Propagation.Propagation(c.Request().Context(), version))
}

// Propagation queries the router for the number of processes in which a version is in
// force.
func (c *Client) Propagation(ctx context.Context, version uint64) (Propagation, error) {
	path := "/v1/propagation?version=" + strconv.FormatUint(version, 10)
	return call[Propagation](ctx, c, http.MethodGet, path, nil, maxResponseBytes)
}
