package store

// Disk is one data folder. Its files are small enough to be read and written as a whole. Write and Rename return only once
// the file would outlive a loss of power under its name. A removal lasts once Sync has returned; until then a loss of power
// may undo any of them by itself. Any call may block for as long as the disk takes; calls for different files may run
// concurrently.
type Disk interface {
	// Write replaces a file atomically: after a loss of power it has the old content or the new one.
	Write(name string, data []byte) error
	// Read returns a file's content; nil and no error where there is no such file.
	Read(name string) ([]byte, error)
	// List names the files, in no order to be relied on.
	List() ([]string, error)
	// Remove deletes a file. It is no error that there is none.
	Remove(name string) error
	// Rename gives a file a name, in place of the file that had it.
	Rename(from, to string) error
	// Sync makes all removals so far last.
	Sync() error
}
