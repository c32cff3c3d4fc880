package logging

import "go.uber.org/zap"

// Error returns the log field of an error, without the stack trace that the
// errors library would add to each line. A nil error adds no field.
func Error(err error) zap.Field { return NamedError("error", err) }

// NamedError is like Error, with another key.
func NamedError(key string, err error) zap.Field {
	if err == nil {
		return zap.Skip()
	}
	return zap.String(key, err.Error())
}
