package settings

// Data configures the folder for bulk data. Hosts without one leave it out.
type Data struct {
	// Folder holds history segments; empty means that this host has no disk.
	Folder string `yaml:"Folder,omitempty"`
}

// Log configures logging to standard error.
type Log struct {
	// Level is debug, info, warn or error; empty means info.
	Level string `yaml:"Level,omitempty"`
}
