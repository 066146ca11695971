package store

import (
	"errors"
	"os"
	"path/filepath"
	"strings"

	"github.com/rotisserie/eris"

	"yarrowridge/internal/lib/faultinjection"
)

// unfinishedSuffix is the suffix of the temporary name of a file while it is written.
const unfinishedSuffix = ".aside"

// Folder is a Disk in a folder of the machine's file system. Create it with OpenFolder.
type Folder struct {
	Path string
	fs   fileSystem
}

// OpenFolder opens a data folder, and creates it if it does not exist.
func OpenFolder(path string) (Folder, error) {
	if err := os.MkdirAll(path, 0o700); err != nil {
		return Folder{}, eris.Wrapf(err, "store: create folder %s", path)
	}
	return Folder{path, osFileSystem{}}, nil
}

// Write implements Disk: it writes and syncs a temporary file, renames it and syncs the folder.
func (d Folder) Write(name string, data []byte) error {
	if faultinjection.Disabled("disk") && strings.HasPrefix(name, batchPrefix) {
		return nil
	}
	if err := d.writeSynced(name+unfinishedSuffix, data); err != nil {
		return eris.Wrapf(err, "store: write %s", name)
	}
	return d.Rename(name+unfinishedSuffix, name)
}

// writeSynced creates a file and syncs its content, but not its name in the folder.
func (d Folder) writeSynced(name string, data []byte) error {
	file, err := d.fs.create(filepath.Join(d.Path, name))
	if err != nil {
		return err
	}
	_, err = file.Write(data)
	if err == nil {
		err = file.Sync()
	}
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	return err
}

// Rename implements Disk: it renames the file and syncs the folder.
func (d Folder) Rename(from, to string) error {
	if err := d.fs.rename(filepath.Join(d.Path, from), filepath.Join(d.Path, to)); err != nil {
		return eris.Wrapf(err, "store: rename %s", from)
	}
	return d.Sync()
}

// Sync implements Disk.
func (d Folder) Sync() error { return eris.Wrap(d.fs.syncDir(d.Path), "store: sync folder") }

// Read implements Disk.
func (d Folder) Read(name string) ([]byte, error) {
	raw, err := d.fs.read(filepath.Join(d.Path, name))
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	return raw, eris.Wrapf(err, "store: read %s", name)
}

// List implements Disk. It omits subfolders and hidden files.
func (d Folder) List() ([]string, error) {
	names, err := d.fs.list(d.Path)
	return names, eris.Wrap(err, "store: list folder")
}

// Remove implements Disk.
func (d Folder) Remove(name string) error {
	err := d.fs.remove(filepath.Join(d.Path, name))
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	return eris.Wrapf(err, "store: remove %s", name)
}
