package resultcode

import "strconv"

// Body is a failure in the OpenAI error shape with the fields of pistachiowind
// beside it.
type Body struct {
	Error BodyDetail `json:"error"`
}

// BodyDetail describes the failure.
type BodyDetail struct {
	Message string `json:"message"`
	// Type is the name of the result code.
	Type  string  `json:"type"`
	Param *string `json:"param"`
	// Code is the number of the result code; OpenAI clients expect a string.
	Code      string    `json:"code"`
	Execution Execution `json:"execution"`
	// RetryAfterMS is the time after which to come back; absent when not known.
	RetryAfterMS int64  `json:"retry_after_ms,omitempty"`
	RequestID    string `json:"request_id,omitempty"`
}

// Body returns the error as the body of an answer to the request with the given id.
func (e *Error) Body(requestID string) Body {
	return Body{Error: BodyDetail{
		Message:      e.Message,
		Type:         e.Code.String(),
		Code:         strconv.FormatUint(uint64(e.Code), 10),
		Execution:    e.Verdict(),
		RetryAfterMS: e.RetryAfter.Milliseconds(),
		RequestID:    requestID,
	}}
}
