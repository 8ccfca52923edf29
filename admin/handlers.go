package admin

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"

	"github.com/labstack/echo/v4"

	"github.com/pistachiowind/pistachiowind/burn"
	"github.com/pistachiowind/pistachiowind/catalog"
	"github.com/pistachiowind/pistachiowind/resultcode"
)

// defaultHistoryLimit is the number of history entries when the query parameter
// limit is absent.
const defaultHistoryLimit = 50

// HealthResponse is the response of GET /healthz and GET /readyz.
type HealthResponse struct {
	Status string `json:"status"`
}

func (s *Server) health(c echo.Context) error {
	return c.JSON(http.StatusOK, HealthResponse{"ok"})
}

func (s *Server) ready(c echo.Context) error {
	if err := s.options.Status.Ready(); err != nil {
		var coded *resultcode.Error
		if errors.As(err, &coded) {
			return coded
		}
		return resultcode.Wrap(resultcode.NotReady, err, "not ready")
	}
	return c.JSON(http.StatusOK, HealthResponse{"ready"})
}

func (s *Server) status(c echo.Context) error {
	return c.JSON(http.StatusOK, s.options.Status.Status())
}

// loadCatalog returns the catalog of the store, or the one in force at this process
// while the store cannot be read. That one may be out of date; the store refuses a
// put based on it then.
func (s *Server) loadCatalog(c echo.Context) (*catalog.Catalog, Source, error) {
	version, newest, err := s.options.Store.Load(c.Request().Context(), 0)
	if err == nil && newest != nil {
		return newest, SourceStore, nil
	}
	if err == nil && version == 0 {
		return &catalog.Catalog{}, SourceStore, nil
	}
	if s.options.Catalog != nil {
		if index := s.options.Catalog.Current(); index != nil && index.Version() > 0 {
			return index.Catalog(), SourceMemory, nil
		}
	}
	return nil, "", resultcode.Wrap(resultcode.StoreUnavailable, err, "the catalog cannot be read")
}

func (s *Server) listProfiles(c echo.Context) error {
	doc, source, err := s.loadCatalog(c)
	if err != nil {
		return err
	}
	profiles := doc.Profiles
	if profiles == nil {
		profiles = []catalog.Profile{}
	}
	return c.JSON(http.StatusOK, ProfilesResponse{doc.Version, source, profiles})
}

func (s *Server) getProfile(c echo.Context) error {
	doc, source, err := s.loadCatalog(c)
	if err != nil {
		return err
	}
	for _, p := range doc.Profiles {
		if p.Name == c.Param("name") {
			return c.JSON(http.StatusOK, ProfileResponse{doc.Version, source, p})
		}
	}
	return resultcode.New(resultcode.UnknownProfile, "catalog version %d has no profile %q", doc.Version, c.Param("name"))
}

func (s *Server) putProfile(c echo.Context) error {
	var body PutProfileRequest
	if err := decode(c, &body); err != nil {
		return err
	}
	if name := c.Param("name"); body.Profile.Name != name {
		return resultcode.New(resultcode.InvalidCatalog, "profile.name is %q; allowed: %q as in the path", body.Profile.Name, name)
	}
	return s.put(c, catalog.Change{
		ID: body.ChangeID, By: operatorOf(c), Base: body.BaseVersion, Profile: &body.Profile,
	})
}

func (s *Server) getCatalog(c echo.Context) error {
	doc, source, err := s.loadCatalog(c)
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, CatalogResponse{source, doc})
}

func (s *Server) putCatalog(c echo.Context) error {
	var body PutCatalogRequest
	if err := decode(c, &body); err != nil {
		return err
	}
	return s.put(c, catalog.Change{
		ID: body.ChangeID, By: operatorOf(c), Base: body.BaseVersion, Catalog: &body.Catalog,
	})
}

func (s *Server) put(c echo.Context, change catalog.Change) error {
	stored, err := s.options.Store.Put(c.Request().Context(), s.options.Now(), change)
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, AcceptedChange{stored.Version, stored.ChangeID, stored.ChangedBy, stored.ChangedAt})
}

func (s *Server) history(c echo.Context) error {
	limit := defaultHistoryLimit
	if text := c.QueryParam("limit"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 || n > catalog.HistoryVersions {
			return resultcode.New(resultcode.UnsupportedParameter, "limit is %q; allowed: 1 to %d", text, catalog.HistoryVersions)
		}
		limit = n
	}
	entries, err := s.options.Store.History(c.Request().Context(), limit)
	if err != nil {
		return resultcode.Wrap(resultcode.StoreUnavailable, err, "the history cannot be read")
	}
	if entries == nil {
		entries = []catalog.HistoryEntry{}
	}
	return c.JSON(http.StatusOK, HistoryResponse{entries})
}

func (s *Server) burnSnapshot(c echo.Context) error {
	return c.JSON(http.StatusOK, s.options.Burn.Snapshot(s.options.Now()))
}

// burnPage shows the report of this router only; CollectBurn merges several.
func (s *Server) burnPage(c echo.Context) error {
	now := s.options.Now()
	snapshot := s.options.Burn.Snapshot(now)
	report := burn.NewReport(now, []burn.Source{{Router: snapshot.Router, Snapshot: snapshot}})
	var page bytes.Buffer
	if err := report.WriteHTML(&page); err != nil {
		return err
	}
	return c.HTMLBlob(http.StatusOK, page.Bytes())
}

func (s *Server) drain(c echo.Context) error {
	s.options.Drain.Drain(operatorOf(c))
	return c.JSON(http.StatusAccepted, s.options.Status.Status())
}

// decode reads the body as a single JSON document. Unknown fields and trailing data
// are errors.
func decode(c echo.Context, into any) error {
	d := json.NewDecoder(http.MaxBytesReader(c.Response(), c.Request().Body, maxBodyBytes))
	d.DisallowUnknownFields()
	err := d.Decode(into)
	if err == nil {
		_, err = d.Token()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err == nil {
			return resultcode.New(resultcode.MalformedBody, "data after the body; allowed: one JSON document")
		}
	}
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return resultcode.New(resultcode.BodyTooLarge, "the body is above %d bytes", large.Limit)
	}
	return resultcode.Wrap(resultcode.MalformedBody, err, "the body is malformed")
}
