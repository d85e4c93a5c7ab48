package configversion

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"
	"strings"

	"swiftdeal/internal/membership/codec"
)

// Limits of a version.
const (
	MaxBodyBytes     = 64 << 10 // of a packed body
	MaxSettingsBytes = 1 << 20  // of the unpacked settings
	MaxTextBytes     = 400      // of the author and of the reason each; longer texts are truncated
)

// Content is the content of a version's body.
type Content struct {
	Settings    []byte // a JSON object of settings that override those of each node's file
	Author      string
	Reason      string
	CreatedAtMs int64 // Unix time in milliseconds on the node that took the request; for display only, no decision depends on it
}

// packedContent is the encoded form of Content.
type packedContent struct {
	Settings    []byte `cbor:"1,keyasint"` // compressed with DEFLATE
	Author      string `cbor:"2,keyasint,omitempty"`
	Reason      string `cbor:"3,keyasint,omitempty"`
	CreatedAtMs int64  `cbor:"4,keyasint,omitempty"`
}

// TooLargeError is the error of Pack for settings that are too large to be distributed.
type TooLargeError struct {
	Bytes  int
	Limit  int
	Packed bool // whether Bytes is the size after packing
}

// Error returns the size and the limit.
func (e *TooLargeError) Error() string {
	if e.Packed {
		return fmt.Sprintf("%d bytes when packed, %d at most", e.Bytes, e.Limit)
	}
	return fmt.Sprintf("%d bytes of settings, %d at most", e.Bytes, e.Limit)
}

// Pack encodes content as the body of a version. Equal contents give equal bytes. It returns a *TooLargeError for settings that are
// too large.
func Pack(c Content) ([]byte, error) {
	if len(c.Settings) > MaxSettingsBytes {
		return nil, &TooLargeError{Bytes: len(c.Settings), Limit: MaxSettingsBytes}
	}
	deflated, err := deflate(c.Settings)
	if err != nil {
		return nil, err
	}
	body := codec.Encode(packedContent{
		Settings: deflated, Author: cutText(c.Author), Reason: cutText(c.Reason), CreatedAtMs: c.CreatedAtMs,
	})
	if len(body) > MaxBodyBytes {
		return nil, &TooLargeError{Bytes: len(body), Limit: MaxBodyBytes, Packed: true}
	}
	return body, nil
}

func deflate(settings []byte) ([]byte, error) {
	var deflated bytes.Buffer
	w, err := flate.NewWriter(&deflated, flate.BestCompression)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(settings); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return deflated.Bytes(), nil
}

// cutText truncates a text to MaxTextBytes and removes invalid UTF-8, such as a character cut in two.
func cutText(text string) string {
	return strings.ToValidUTF8(text[:min(len(text), MaxTextBytes)], "")
}

// Unpack decodes a body. The size is limited after decompression too, since a small body could expand to gigabytes.
func Unpack(body []byte) (Content, error) {
	if len(body) > MaxBodyBytes {
		return Content{}, fmt.Errorf("%w: %d bytes", codec.ErrTooLarge, len(body))
	}
	var packed packedContent
	if err := codec.Decode(body, &packed); err != nil {
		return Content{}, err
	}
	inflater := flate.NewReader(bytes.NewReader(packed.Settings))
	settings, err := io.ReadAll(io.LimitReader(inflater, MaxSettingsBytes+1))
	if err == nil && len(settings) > MaxSettingsBytes {
		err = codec.ErrTooLarge
	}
	if err != nil {
		return Content{}, fmt.Errorf("settings of a revision: %w", err)
	}
	return Content{Settings: settings, Author: packed.Author, Reason: packed.Reason, CreatedAtMs: packed.CreatedAtMs}, nil
}
