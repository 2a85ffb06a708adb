package config

import (
	"fmt"

	"github.com/goccy/go-yaml"
)

// Parse decodes and validates a document. The error is of type Faults and lists
// every fault with its file, line and field.
func Parse(data []byte, file string) (*Document, error) {
	d := &Document{}
	r := Decode(data, file, d)
	d.validate(r)
	if err := r.Err(); err != nil {
		return nil, err
	}
	return d, nil
}

// Marshal encodes the document as YAML. Equal documents have the same encoding.
func Marshal(d *Document) ([]byte, error) {
	data, err := yaml.Marshal(d)
	if err != nil {
		return nil, fmt.Errorf("failed to encode the configuration as YAML: %w", err)
	}
	return data, nil
}
