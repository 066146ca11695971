package store

import (
	"errors"
	"os"
	"path/filepath"
	"strings"

	"github.com/rotisserie/eris"

	"yarrowridge/internal/lib/faultinjection"
)

// Disk is one data folder. Write and Rename return only once the file would outlive a loss of power under its name. A
// removal lasts once Sync has returned; until then a loss of power may undo any of them by itself.
type Disk interface {
	Write(name string, data []byte) error
	Read(name string) ([]byte, error)
	List() ([]string, error)
	Remove(name string) error
	Rename(from, to string) error
	Sync() error
}

// files are the steps on a file system that a disk is made of. What was written or renamed lasts only
// once the file, or the folder, was synced; the tests' own files forget the rest.
type files interface {
	create(path string) (file, error)
	syncDir(path string) error // the folder's names
	rename(from, to string) error
	remove(path string) error
	read(path string) ([]byte, error)
	list(path string) ([]string, error)
}

// file is one being written; *os.File is one.
type file interface {
	Write(data []byte) (int, error)
	Sync() error
	Close() error
}

// Folder is a disk on the machine's file system.
type Folder struct {
	Path string
	fs   files
}

// OpenFolder makes the folder where it is missing.
func OpenFolder(path string) (Folder, error) {
	if err := os.MkdirAll(path, 0o700); err != nil {
		return Folder{}, eris.Wrapf(err, "store: folder %s", path)
	}
	return Folder{path, system{}}, nil
}

// Write puts data aside, syncs it, renames it into place and syncs the folder.
func (d Folder) Write(name string, data []byte) error {
	if faultinjection.Disabled("disk") && strings.HasPrefix(name, "v-") {
		return nil
	}
	side := filepath.Join(d.Path, name+".aside")
	file, err := d.fs.create(side)
	if err != nil {
		return eris.Wrapf(err, "store: write %s", name)
	}
	_, err = file.Write(data)
	if err == nil {
		err = file.Sync()
	}
	if e := file.Close(); err == nil {
		err = e
	}
	if err != nil {
		return eris.Wrapf(err, "store: write %s", name)
	}
	return d.Rename(name+".aside", name)
}

// Rename moves a file within the folder and syncs the folder.
func (d Folder) Rename(from, to string) error {
	if err := d.fs.rename(filepath.Join(d.Path, from), filepath.Join(d.Path, to)); err != nil {
		return eris.Wrapf(err, "store: rename %s", from)
	}
	return d.Sync()
}

// Sync makes all removals so far last.
func (d Folder) Sync() error { return eris.Wrap(d.fs.syncDir(d.Path), "store: sync folder") }

// Read gives a file's bytes; a missing file is (nil, nil).
func (d Folder) Read(name string) ([]byte, error) {
	raw, err := d.fs.read(filepath.Join(d.Path, name))
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	return raw, eris.Wrapf(err, "store: read %s", name)
}

// List names the files in the folder.
func (d Folder) List() ([]string, error) {
	all, err := d.fs.list(d.Path)
	return all, eris.Wrap(err, "store: list folder")
}

// Remove drops a file; one that is gone already is no error.
func (d Folder) Remove(name string) error {
	err := d.fs.remove(filepath.Join(d.Path, name))
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	return eris.Wrapf(err, "store: remove %s", name)
}

// system is the machine's own file system.
type system struct{}

func (system) rename(from, to string) error     { return os.Rename(from, to) }
func (system) remove(path string) error         { return os.Remove(path) }
func (system) read(path string) ([]byte, error) { return os.ReadFile(path) }

func (system) create(path string) (file, error) {
	return os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_TRUNC, 0o600)
}

func (system) syncDir(path string) error {
	f, err := os.Open(path)
	if err != nil {
		return err
	}
	defer f.Close()
	return f.Sync()
}

func (system) list(path string) ([]string, error) {
	all, err := os.ReadDir(path)
	var out []string
	for _, e := range all {
		if !e.IsDir() && !strings.HasPrefix(e.Name(), ".") {
			out = append(out, e.Name())
		}
	}
	return out, err
}
