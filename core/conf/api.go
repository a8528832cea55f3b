package conf

// Load reads and checks the declarations in a folder.
func Load(string) (Config, []Problem) { return Config{}, nil }

// Check returns all faults of a merged configuration.
func Check(Config) []Problem { return nil }

// Guard returns the faults of replacing one configuration by another while moves run.
func Guard(Config, Config, []MoveStatus) []Problem { return nil }

// ReadSettings reads and checks the settings of a process.
func ReadSettings[T Settings](string) (set T, problems []Problem) { return set, nil }
