package store

// Disk is one data folder. Its files are small enough to be read and written in one call. When Write or Rename returns, the
// file is durable under its name. Removals are durable when Sync has returned; until then a power loss may undo each of them
// independently of the others. Any call may block for as long as the disk takes. Calls for different files may run
// concurrently.
type Disk interface {
	// Write creates or replaces a file atomically: after a power loss it has either the old content or the new one.
	Write(name string, data []byte) error
	// Read returns the content of a file. If there is no such file, it returns nil and no error.
	Read(name string) ([]byte, error)
	// List returns the names of the files, in no particular order.
	List() ([]string, error)
	// Remove deletes a file. A missing file is not an error.
	Remove(name string) error
	// Rename renames a file and replaces any file that has the new name.
	Rename(from, to string) error
	// Sync makes all previous removals durable.
	Sync() error
}
