package handover

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"strconv"
	"syscall"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxSocketPath is the maximum length in bytes of the path of a Unix socket on Linux.
	maxSocketPath = 107
	// publicName is the file name of the socket that successors connect to.
	publicName = "node"
	// privatePrefix, followed by the process id, names a socket that is not public yet.
	privatePrefix = "new-"
	// longestPrivateName has the length of the longest name with privatePrefix: process ids have at most seven digits.
	longestPrivateName = privatePrefix + "1234567"
	// privateMode gives access to the directory to its owner only.
	privateMode fs.FileMode = 0o700
)

// privateDir returns the directory under dir for the sockets of the processes that serve clients at listen. It creates the
// directory if needed. dir, usually TMPDIR, may be shared with other users, who could create the directory first: it is an error
// if it is not a directory that belongs to this user and that nobody else can access.
func privateDir(dir, listen string) (string, error) {
	if dir == "" {
		return "", ErrNoDirectory
	}
	path := filepath.Join(dir, "swiftdeal-"+strconv.FormatUint(xxhash.Sum64String(listen), 16))
	if len(filepath.Join(path, longestPrivateName)) > maxSocketPath {
		return "", &DirectoryError{path, "is too long for the path of a Unix socket"}
	}
	if err := os.Mkdir(path, privateMode); err != nil && !errors.Is(err, fs.ErrExist) {
		return "", err
	}
	info, err := os.Lstat(path)
	if err != nil {
		return "", err
	}
	stat, ok := info.Sys().(*syscall.Stat_t)
	if !ok || !info.IsDir() || info.Mode().Perm() != privateMode || int(stat.Uid) != os.Geteuid() {
		return "", &DirectoryError{path, "is not a private directory of this user (mode 0700)"}
	}
	return path, nil
}
