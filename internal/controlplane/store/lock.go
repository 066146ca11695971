package store

import (
	"io"
	"os"
	"path/filepath"
	"syscall"

	"github.com/rotisserie/eris"
)

// Lock keeps a second process off the same data folder, for as long as the result is open.
func Lock(path string) (io.Closer, error) {
	f, err := os.OpenFile(filepath.Join(path, ".lock"), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, eris.Wrap(err, "store: lock")
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		f.Close()
		return nil, eris.Errorf("store: folder %s is in use by another process", path)
	}
	return f, nil
}
