package settings

import "fmt"

// Role is the kind of daemon that a settings file is for.
type Role string

// The roles.
const (
	RoleEntry Role = "entry"
	RoleAgent Role = "agent"
)

// Check reads a settings file and returns what is wrong with it.
func Check(role Role, path string) error {
	var err error
	switch role {
	case RoleEntry:
		_, err = LoadEntry(path)
	case RoleAgent:
		_, err = LoadAgent(path)
	default:
		err = fmt.Errorf("role %q is neither entry nor agent", role)
	}
	return err
}
