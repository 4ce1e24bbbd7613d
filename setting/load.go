package setting

import (
	"encoding/json"
	"errors"
	"io"

	"burdocksaddle/jsonc"
)

// Load reads and validates the settings file at path. It returns jsonc.ErrFileUnreadable or ErrSettingInvalid on failure.
func Load(path string) (Settings, error) {
	data, err := jsonc.ReadFile(path)
	if err != nil {
		return Settings{}, err
	}
	return Parse(path, data)
}

// Parse decodes data on top of Defaults and validates the result. The error joins one ErrSettingInvalid per problem.
func Parse(name string, data []byte) (Settings, error) {
	s := Defaults()
	problems := jsonc.Decode(data, &s)
	if s.Advertise == "" {
		s.Advertise = s.Listen
	}
	problems = append(problems, s.check(problems)...)
	if len(problems) == 0 {
		return s, nil
	}
	all := make([]error, 0, len(problems))
	for _, p := range problems {
		all = append(all, ErrSettingInvalid{File: name, Key: p.Key, Value: p.Value, Allowed: p.Allowed})
	}
	return Settings{}, errors.Join(all...)
}

// Print writes the effective settings, including defaults, as JSON. Settings contain no secrets, only the names of the files
// that hold them.
func (s Settings) Print(to io.Writer) error {
	encoder := json.NewEncoder(to)
	encoder.SetIndent("", "  ")
	encoder.SetEscapeHTML(false)
	return encoder.Encode(s)
}
