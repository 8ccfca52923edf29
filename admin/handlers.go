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

// defaultHistory is the number of entries without the parameter limit.
const defaultHistory = 50

// Health is the answer of GET /healthz and GET /readyz.
type Health struct {
	Status string `json:"status"`
}

func (s *Server) health(c echo.Context) error {
	return c.JSON(http.StatusOK, Health{"ok"})
}

func (s *Server) ready(c echo.Context) error {
	if err := s.options.Status.Ready(); err != nil {
		var coded *resultcode.Error
		if errors.As(err, &coded) {
			return coded
		}
		return resultcode.Wrap(resultcode.NotReady, err, "not ready")
	}
	return c.JSON(http.StatusOK, Health{"ready"})
}

func (s *Server) status(c echo.Context) error {
	return c.JSON(http.StatusOK, s.options.Status.Status())
}

// load returns the catalog of the store, or that of this process while the
// store cannot be read. A put based on an older one is refused by the store.
func (s *Server) load(c echo.Context) (*catalog.Catalog, Source, error) {
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
	doc, source, err := s.load(c)
	if err != nil {
		return err
	}
	profiles := doc.Profiles
	if profiles == nil {
		profiles = []catalog.Profile{}
	}
	return c.JSON(http.StatusOK, ProfileList{doc.Version, source, profiles})
}

func (s *Server) getProfile(c echo.Context) error {
	doc, source, err := s.load(c)
	if err != nil {
		return err
	}
	for _, p := range doc.Profiles {
		if p.Name == c.Param("name") {
			return c.JSON(http.StatusOK, ProfileAt{doc.Version, source, p})
		}
	}
	return resultcode.New(resultcode.UnknownProfile, "catalog version %d has no profile %q", doc.Version, c.Param("name"))
}

func (s *Server) putProfile(c echo.Context) error {
	var body PutProfile
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
	doc, source, err := s.load(c)
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, CatalogAt{source, doc})
}

func (s *Server) putCatalog(c echo.Context) error {
	var body PutCatalog
	if err := decode(c, &body); err != nil {
		return err
	}
	return s.put(c, catalog.Change{
		ID: body.ChangeID, By: operatorOf(c), Base: body.BaseVersion, Catalog: &body.Catalog,
	})
}

func (s *Server) put(c echo.Context, change catalog.Change) error {
	made, err := s.options.Store.Put(c.Request().Context(), s.options.Now(), change)
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, Accepted{made.Version, made.ChangeID, made.ChangedBy, made.ChangedAt})
}

func (s *Server) history(c echo.Context) error {
	limit := defaultHistory
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
	return c.JSON(http.StatusOK, History{entries})
}

func (s *Server) burnSnapshot(c echo.Context) error {
	return c.JSON(http.StatusOK, s.options.Burn.Snapshot(s.options.Now()))
}

// burnPage shows this router only; CollectBurn covers several.
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

// decode reads one JSON document; unknown fields are refused.
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
