package store

import (
	"os"
	"path/filepath"
	"strings"

	"github.com/rotisserie/eris"

	"yarrowridge/internal/strike"
)

// Disk is one data folder. Write returns only once the file would outlive a loss of power.
type Disk interface {
	Write(name string, data []byte) error
	Read(name string) ([]byte, error)
	List() ([]string, error)
	Remove(name string) error
	Rename(from, to string) error
}

// Folder is a disk on the machine's file system.
type Folder struct{ Path string }

// OpenFolder makes the folder where it is missing.
//
//	d, err := store.OpenFolder("/var/lib/yarrowridge")
func OpenFolder(path string) (Folder, error) {
	if err := os.MkdirAll(path, 0o700); err != nil {
		return Folder{}, eris.Wrapf(err, "store: folder %s", path)
	}
	return Folder{path}, nil
}

// Write puts data aside, syncs it, renames it into place and syncs the folder.
//
//	err := d.Write("ballot", raw)
func (d Folder) Write(name string, data []byte) error {
	if strike.Out("disk") && strings.HasPrefix(name, "v-") {
		return nil
	}
	side := filepath.Join(d.Path, name+".aside")
	f, err := os.OpenFile(side, os.O_CREATE|os.O_WRONLY|os.O_TRUNC, 0o600)
	if err != nil {
		return eris.Wrapf(err, "store: write %s", name)
	}
	_, err = f.Write(data)
	if err == nil {
		err = f.Sync()
	}
	if e := f.Close(); err == nil {
		err = e
	}
	if err != nil {
		return eris.Wrapf(err, "store: write %s", name)
	}
	return d.Rename(name+".aside", name)
}

// Rename moves a file within the folder and syncs the folder.
//
//	err := d.Rename("v-9", "bad-v-9")
func (d Folder) Rename(from, to string) error {
	if err := os.Rename(filepath.Join(d.Path, from), filepath.Join(d.Path, to)); err != nil {
		return eris.Wrapf(err, "store: rename %s", from)
	}
	dir, err := os.Open(d.Path)
	if err != nil {
		return eris.Wrap(err, "store: open folder")
	}
	defer dir.Close()
	return eris.Wrap(dir.Sync(), "store: sync folder")
}

// Read gives a file's bytes; a missing file is (nil, nil).
//
//	raw, err := d.Read("ballot")
func (d Folder) Read(name string) ([]byte, error) {
	raw, err := os.ReadFile(filepath.Join(d.Path, name))
	if os.IsNotExist(err) {
		return nil, nil
	}
	return raw, eris.Wrapf(err, "store: read %s", name)
}

// List names the files in the folder.
//
//	all, err := d.List()
func (d Folder) List() ([]string, error) {
	all, err := os.ReadDir(d.Path)
	if err != nil {
		return nil, eris.Wrap(err, "store: list folder")
	}
	var out []string
	for _, e := range all {
		if !e.IsDir() && !strings.HasPrefix(e.Name(), ".") {
			out = append(out, e.Name())
		}
	}
	return out, nil
}

// Remove drops a file; one that is gone already is no trouble.
//
//	err := d.Remove("v-3")
func (d Folder) Remove(name string) error {
	err := os.Remove(filepath.Join(d.Path, name))
	if os.IsNotExist(err) {
		return nil
	}
	return eris.Wrapf(err, "store: remove %s", name)
}
