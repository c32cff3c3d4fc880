package logging

import "go.uber.org/zap"

// Error is the field of an error, without the stack that the errors library
// would add to each line. A nil error adds nothing.
func Error(err error) zap.Field { return NamedError("error", err) }

// NamedError is Error under another key.
func NamedError(key string, err error) zap.Field {
	if err == nil {
		return zap.Skip()
	}
	return zap.String(key, err.Error())
}
