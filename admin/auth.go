package admin

import (
	"crypto/subtle"
	"strings"

	"github.com/labstack/echo/v4"

	"github.com/pistachiowind/pistachiowind/catalog"
	"github.com/pistachiowind/pistachiowind/resultcode"
	"github.com/pistachiowind/pistachiowind/settings"
)

const operatorKey = "operator"

// authenticate returns the operator whose key the header carries. All hashes
// are compared, so that the time tells nothing about which one is near.
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

// requireOperator is the middleware of the routes that need a key.
func requireOperator(operators []settings.Operator) echo.MiddlewareFunc {
	return func(next echo.HandlerFunc) echo.HandlerFunc {
		return func(c echo.Context) error {
			name, err := authenticate(operators, c.Request().Header.Values(echo.HeaderAuthorization))
			if err != nil {
				return err
			}
			c.Set(operatorKey, name)
			return next(c)
		}
	}
}

func operatorOf(c echo.Context) string {
	name, _ := c.Get(operatorKey).(string)
	return name
}
