package resultcode

import "strconv"

// Body is an error response in the format of the OpenAI API, extended by fields of
// pistachiowind.
type Body struct {
	Error BodyDetail `json:"error"`
}

// BodyDetail is the error object of a Body.
type BodyDetail struct {
	Message string `json:"message"`
	// Type is the name of the result code.
	Type  string  `json:"type"`
	Param *string `json:"param"`
	// Code is the number of the result code, as a string because OpenAI clients
	// expect one.
	Code      string    `json:"code"`
	Execution Execution `json:"execution"`
	// RetryAfterMS is the time after which to retry; absent when unknown.
	RetryAfterMS int64  `json:"retry_after_ms,omitempty"`
	RequestID    string `json:"request_id,omitempty"`
}

// Body returns the error, without its cause, as a response body for the request with
// the given ID.
func (e *Error) Body(requestID string) Body {
	return Body{Error: BodyDetail{
		Message:      e.Message,
		Type:         e.Code.String(),
		Code:         strconv.FormatUint(uint64(e.Code), 10),
		Execution:    e.EffectiveExecution(),
		RetryAfterMS: e.RetryAfter.Milliseconds(),
		RequestID:    requestID,
	}}
}
