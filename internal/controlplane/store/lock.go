package store

import (
	"errors"
	"io"
	"os"
	"path/filepath"
	"syscall"

	"github.com/rotisserie/eris"
)

// Lock locks a data folder against use by a second process, until the result is closed or the process ends. It does not wait
// for the lock: if another process has it, Lock returns an error.
func Lock(path string) (io.Closer, error) {
	file, err := os.OpenFile(filepath.Join(path, ".lock"), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, eris.Wrap(err, "store: open lock file")
	}
	if err := syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		return nil, eris.Wrapf(errors.Join(err, file.Close()), "store: folder %s is in use by another process", path)
	}
	return file, nil
}
