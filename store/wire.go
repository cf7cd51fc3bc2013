package store

// Paths and parameters of the platform's HTTP interface. Every table call is a
// POST with a JSON body. An object is read and written as raw bytes at
// PathObject, with its name in the query parameter ObjectNameParam.
const (
	PathGet         = "/v1/table/get"
	PathScan        = "/v1/table/scan"
	PathCommit      = "/v1/table/commit"
	PathObject      = "/v1/object"
	PathObjectList  = "/v1/objects"
	ObjectNameParam = "name"
)

// GetRequest is the body of PathGet.
type GetRequest struct {
	Keys []string `json:"keys"`
}

// ScanRequest is the body of PathScan and PathObjectList.
type ScanRequest struct {
	Prefix string `json:"prefix"`
	After  string `json:"after"`
	Limit  int    `json:"limit"`
}

// RowsAnswer is the body of the answer to PathGet and PathScan.
type RowsAnswer struct {
	Rows []Row `json:"rows"`
}

// CommitRequest is the body of PathCommit.
type CommitRequest struct {
	Writes []Write `json:"writes"`
}

// ConflictAnswer is the body of a 409 answer to PathCommit.
type ConflictAnswer struct {
	Key  string `json:"key"`
	Want uint64 `json:"want"`
	Have uint64 `json:"have"`
}

// NamesAnswer is the body of the answer to PathObjectList.
type NamesAnswer struct {
	Names []string `json:"names"`
}
