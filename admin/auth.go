package admin

import (
	"crypto/subtle"
	"strings"

	"github.com/labstack/echo/v4"

	"github.com/pistachiowind/pistachiowind/catalog"
	"github.com/pistachiowind/pistachiowind/resultcode"
	"github.com/pistachiowind/pistachiowind/settings"
)

// operatorContextKey is the key of the echo context under which the name of the
// authenticated operator is stored.
const operatorContextKey = "operator"

// authenticate returns the name of the operator whose key is in the Authorization
// header. All hashes are compared, so that the response time reveals nothing about
// a partial match.
func authenticate(operators []settings.Operator, headers []string) (string, error) {
	if len(headers) > 1 {
		return "", resultcode.New(resultcode.DuplicateHeader, "Authorization occurs %d times", len(headers))
	}
	if len(headers) == 0 {
		return "", resultcode.New(resultcode.Unauthenticated, "Authorization is absent; allowed: Bearer KEY")
	}
	key, ok := strings.CutPrefix(headers[0], "Bearer ")
	if !ok || key == "" {
		return "", resultcode.New(resultcode.Unauthenticated, "Authorization is malformed; allowed: Bearer KEY")
	}
	hash := []byte(catalog.HashKey(key))
	name := ""
	for _, o := range operators {
		if subtle.ConstantTimeCompare(hash, []byte(o.KeyHash)) == 1 {
			name = o.Name
		}
	}
	if name == "" {
		return "", resultcode.New(resultcode.Unauthenticated, "the key is not that of an operator")
	}
	return name, nil
}

// requireOperator is the middleware that authenticates an operator.
func requireOperator(operators []settings.Operator) echo.MiddlewareFunc {
	return func(next echo.HandlerFunc) echo.HandlerFunc {
		return func(c echo.Context) error {
			name, err := authenticate(operators, c.Request().Header.Values(echo.HeaderAuthorization))
			if err != nil {
				return err
			}
			c.Set(operatorContextKey, name)
			return next(c)
		}
	}
}

func operatorOf(c echo.Context) string {
	name, _ := c.Get(operatorContextKey).(string)
	return name
}
