package setting

import (
	"encoding/json"
	"errors"
	"io"

	"burdocksaddle/jsonc"
)

// Load reads and checks the settings file at path; errors are jsonc.ErrFileUnreadable and ErrSettingInvalid.
func Load(path string) (Settings, error) {
	data, err := jsonc.ReadFile(path)
	if err != nil {
		return Settings{}, err
	}
	return Parse(path, data)
}

// Parse reads data over Defaults and checks the whole; the error joins one ErrSettingInvalid for each fault.
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

// Print writes the values in effect, defaults included, as JSON; of secrets it knows only the files' names.
func (s Settings) Print(to io.Writer) error {
	encoder := json.NewEncoder(to)
	encoder.SetIndent("", "  ")
	encoder.SetEscapeHTML(false)
	return encoder.Encode(s)
}
