package config

import (
	"fmt"

	"github.com/goccy/go-yaml"
)

// Parse reads a document and checks it. The error is of type Faults and lists
// every fault with the file, the line and the field.
func Parse(data []byte, file string) (*Document, error) {
	d := &Document{}
	r := Decode(data, file, d)
	d.validate(r)
	if err := r.Err(); err != nil {
		return nil, err
	}
	return d, nil
}

// Marshal writes the document as YAML. Equal documents give equal bytes.
func Marshal(d *Document) ([]byte, error) {
	data, err := yaml.Marshal(d)
	if err != nil {
		return nil, fmt.Errorf("writing configuration as YAML: %w", err)
	}
	return data, nil
}
