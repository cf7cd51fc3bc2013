package settings

import "fmt"

// Role is the role of the process that a settings file is for.
type Role string

// The roles.
const (
	RoleEntry Role = "entry"
	RoleAgent Role = "agent"
)

// Check reads and validates a settings file. The error is an *InvalidError if the
// file's content is invalid, else that of reading the file or of an unknown role.
func Check(role Role, path string) error {
	var err error
	switch role {
	case RoleEntry:
		_, err = LoadEntry(path)
	case RoleAgent:
		_, err = LoadAgent(path)
	default:
		err = fmt.Errorf("unknown role %q, want entry or agent", role)
	}
	return err
}
