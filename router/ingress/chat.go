package ingress

import (
	"crypto/sha256"
	"encoding/json"
	"unicode/utf8"

	"github.com/labstack/echo/v4"

	"github.com/pistachiowind/pistachiowind/resultcode"
	"github.com/pistachiowind/pistachiowind/rpc"
)

// chatParameters are the fields of a chat completion that the router reads. All
// others are passed on unchanged.
type chatParameters struct {
	Model         string            `json:"model"`
	Messages      []json.RawMessage `json:"messages"`
	Stream        bool              `json:"stream"`
	StreamOptions struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
	N *int `json:"n"`
}

func decodeChat(body []byte) (*chatParameters, *resultcode.Error) {
	if !utf8.Valid(body) {
		return nil, resultcode.New(resultcode.InvalidUTF8, "the body is not valid UTF-8")
	}
	var p chatParameters
	if err := json.Unmarshal(body, &p); err != nil {
		return nil, resultcode.Wrap(resultcode.MalformedBody, err, "the body is not a chat completion request: %v", err)
	}
	if p.Model == "" {
		return nil, resultcode.New(resultcode.MalformedBody, "field model: a model name is required")
	}
	if len(p.Messages) == 0 {
		return nil, resultcode.New(resultcode.MalformedBody, "field messages: at least one message is required")
	}
	if p.N != nil && *p.N != 1 {
		return nil, resultcode.New(resultcode.UnsupportedParameter, "field n: is %d, allowed is 1", *p.N)
	}
	return &p, nil
}

func (s *Server) chat(c echo.Context) error {
	in, refusal := s.admit(c)
	if refusal != nil {
		return s.refuse(c, refusal)
	}
	defer s.open.end()
	params, refusal := s.prepareChat(c, in)
	if refusal != nil {
		return s.refuse(c, refusal)
	}
	if params.Stream {
		return s.chatStream(c, in, params)
	}
	return s.chatBuffered(c, in, params)
}

func (s *Server) prepareChat(c echo.Context, in *inbound) (*chatParameters, *resultcode.Error) {
	if err := in.resolveProfile(c.Request().Header, in.Account.DefaultProfile); err != nil {
		return nil, err
	}
	body, err := s.readBody(c)
	if err != nil {
		return nil, err
	}
	params, err := decodeChat(body)
	if err != nil {
		return nil, err
	}
	digest := sha256.Sum256(body)
	in.BodyDigest = digest[:]
	in.Chat = &rpc.ChatWork{Model: params.Model, Body: body}
	return params, nil
}

func (s *Server) chatStream(c echo.Context, in *inbound, params *chatParameters) error {
	sink := newEventSink(c, in.Request, params)
	if err := s.run(c, in, sink); err != nil {
		return sink.fail(err)
	}
	return nil
}

func (s *Server) chatBuffered(c echo.Context, in *inbound, params *chatParameters) error {
	sink := newBufferedSink(in.Request, params)
	if err := s.run(c, in, sink); err != nil {
		return writeRefusal(c, err)
	}
	return sink.writeAnswer(c)
}
