// Package plan turns a mix file or a trace into a fixed list of requests with arrival times,
// which package load sends.
package plan

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"

	"github.com/pkg/errors"
	"github.com/tailscale/hujson"

	"hickoryvane.example/core/conf"
	"hickoryvane.example/core/ident"
)

// ErrInvalidMix means that a mix file cannot be read or is invalid.
var ErrInvalidMix = errors.New("invalid mix file")

// Mix declares the kinds of requests of an open-loop load.
type Mix struct {
	// Seed fixes arrival times, lengths and texts.
	Seed uint64 `json:"seed"`
	// TextFiles are files from which prompts are excerpted; relative paths start at the folder of the mix file.
	TextFiles  []string `json:"texts"`
	Kinds      []Kind   `json:"kinds"`
	promptText []byte
}

// Kind is one stream of similar requests with Poisson arrivals.
type Kind struct {
	Name string `json:"name"`
	// RatePerSecond is the mean rate of arrivals.
	RatePerSecond float64 `json:"rate"`
	// APIKey is the key of the client account.
	APIKey string `json:"key"`
	// Account names the account in reports; the kind's name if empty.
	Account string `json:"account"`
	// Tier is sent as X-Tier unless empty.
	Tier string `json:"tier"`
	// Service is the name of a plain service; empty for model requests.
	Service string `json:"service"`
	// Method and Path address a route of a plain service.
	Method string `json:"method"`
	Path   string `json:"path"`
	// Model is the model that a model request names.
	Model string `json:"model"`
	// Prompt and Output bound the length of the prompt and of the answer.
	Prompt TokenRange `json:"prompt"`
	Output TokenRange `json:"output"`
	// Deadline is the time to the first byte in milliseconds; sent as X-Deadline unless zero.
	Deadline conf.Millis `json:"deadline"`
	// Sessions is the number of sessions that requests belong to; zero for none.
	Sessions int `json:"sessions"`
	// PrefixShare is the share of requests, 0 to 1, whose prompt starts with the kind's common prefix.
	PrefixShare float64 `json:"shared"`
	// PrefixTokens is the length of the common prefix.
	PrefixTokens ident.Tokens `json:"prefix"`
	// Idempotent requests carry an Idempotency-Key.
	Idempotent bool `json:"keyed"`
	// ResendShare is the share of idempotent requests, 0 to 1, that are sent a second time with the same key.
	ResendShare float64 `json:"resend"`
}

// TokenRange is an inclusive range of lengths in tokens.
type TokenRange [2]ident.Tokens

// ReadMix reads a mix file and its text files. Errors wrap ErrInvalidMix.
func ReadMix(name string) (m *Mix, err error) {
	defer func() { err = errors.WithMessagef(err, "read %s", name) }()
	b, err := os.ReadFile(name)
	if err != nil {
		return nil, errors.Wrap(ErrInvalidMix, err.Error())
	}
	if b, err = hujson.Standardize(b); err != nil {
		return nil, errors.Wrap(ErrInvalidMix, err.Error())
	}
	m = &Mix{}
	d := json.NewDecoder(strings.NewReader(string(b)))
	d.DisallowUnknownFields()
	if err = d.Decode(m); err != nil {
		return nil, errors.Wrap(ErrInvalidMix, err.Error())
	}
	if err = m.validate(); err != nil {
		return nil, err
	}
	return m, m.readTexts(filepath.Dir(name))
}

func (m *Mix) readTexts(dir string) error {
	for _, t := range m.TextFiles {
		if !filepath.IsAbs(t) {
			t = filepath.Join(dir, t)
		}
		b, err := os.ReadFile(t)
		if err != nil {
			return errors.Wrap(ErrInvalidMix, err.Error())
		}
		m.promptText = append(m.promptText, strings.ToValidUTF8(string(b), " ")...)
	}
	if len(m.promptText) == 0 {
		m.promptText = []byte(defaultText)
	}
	return nil
}

func (m *Mix) validate() error {
	if len(m.Kinds) == 0 {
		return errors.Wrap(ErrInvalidMix, "kinds is empty")
	}
	for i := range m.Kinds {
		if err := m.Kinds[i].validate(); err != nil {
			return errors.WithMessagef(err, "kind %q", m.Kinds[i].Name)
		}
	}
	return nil
}

func (k *Kind) validate() error {
	switch {
	case k.Name == "":
		return errors.Wrap(ErrInvalidMix, "name is empty")
	case k.RatePerSecond <= 0:
		return errors.Wrap(ErrInvalidMix, "rate must be above 0")
	case k.Service != "" && (k.Method == "" || !strings.HasPrefix(k.Path, "/")):
		return errors.Wrap(ErrInvalidMix, "a plain service needs method and path")
	case !k.Prompt.valid() || !k.Output.valid():
		return errors.Wrap(ErrInvalidMix, "prompt and output must be [smallest, largest] and not negative")
	case k.PrefixShare < 0 || k.PrefixShare > 1 || k.ResendShare < 0 || k.ResendShare > 1:
		return errors.Wrap(ErrInvalidMix, "shared and resend must be between 0 and 1")
	case k.ResendShare > 0 && !k.Idempotent:
		return errors.Wrap(ErrInvalidMix, "resend above 0 needs keyed")
	}
	if k.Account == "" {
		k.Account = k.Name
	}
	return nil
}

func (r TokenRange) valid() bool { return r[0] >= 0 && r[1] >= r[0] }
