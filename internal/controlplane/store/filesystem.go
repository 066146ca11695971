package store

import (
	"os"
	"strings"
)

// fileSystem has the file system operations that Folder uses. Written data is durable only after the file is synced; created,
// renamed and removed names only after the folder is synced. Tests use an implementation that simulates a power loss.
type fileSystem interface {
	create(path string) (file, error)
	syncDir(path string) error // makes changes of names in the folder durable
	rename(from, to string) error
	remove(path string) error
	read(path string) ([]byte, error)
	list(path string) ([]string, error)
}

// file is a file open for writing, such as an *os.File.
type file interface {
	Write(data []byte) (int, error)
	Sync() error
	Close() error
}

// osFileSystem is the file system of the operating system.
type osFileSystem struct{}

func (osFileSystem) rename(from, to string) error     { return os.Rename(from, to) }
func (osFileSystem) remove(path string) error         { return os.Remove(path) }
func (osFileSystem) read(path string) ([]byte, error) { return os.ReadFile(path) }

func (osFileSystem) create(path string) (file, error) {
	return os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_TRUNC, 0o600)
}

func (osFileSystem) syncDir(path string) error {
	dir, err := os.Open(path)
	if err != nil {
		return err
	}
	err = dir.Sync()
	if closeErr := dir.Close(); err == nil {
		err = closeErr
	}
	return err
}

func (osFileSystem) list(path string) ([]string, error) {
	entries, err := os.ReadDir(path)
	var names []string
	for _, entry := range entries {
		if !entry.IsDir() && !strings.HasPrefix(entry.Name(), ".") {
			names = append(names, entry.Name())
		}
	}
	return names, err
}
