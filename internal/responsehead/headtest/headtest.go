// Package headtest has responses with proper and with malformed heads, and a server that sends such
// bytes, for tests of what reads responses.
package headtest

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Serve starts a server that sends the first bytes to each request, and after them the others again
// and again until the connection is closed; "" sends nothing more and reads the next request. It
// returns the address.
func Serve(t testing.TB, first, endless string) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	handleEach(t, listener, func(c net.Conn) { serve(c, first, endless) })
	return listener.Addr().String()
}

// handleEach handles each connection and closes it, until the test ends.
func handleEach(t testing.TB, listener net.Listener, handle func(net.Conn)) {
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				handle(c)
			}()
		}
	}()
}

func serve(c net.Conn, first, endless string) {
	for reader := bufio.NewReader(c); ; {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		for _, err = io.WriteString(c, first); err == nil && endless != ""; {
			_, err = io.WriteString(c, endless)
		}
		if err != nil {
			return
		}
	}
}

const note = "X-Note: full text\r\n"

func whole(fields, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s%sContent-Length: %d\r\n\r\n%s", fields, note, len(body), body)
}

func chunked(fields, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", fields, note, len(body), body)
}

// form is a kind of response.
type form func(fields, body string) string

// with replaces a part of the responses of a form.
func (f form) with(part, by string) form {
	return func(fields, body string) string { return strings.Replace(f(fields, body), part, by, 1) }
}

// inBody is a response whose body is a proper response.
func inBody(statusLine string) form {
	return func(fields, body string) string {
		inner := whole(fields, body)
		return fmt.Sprintf("%s\r\n%sContent-Length: %d\r\n\r\n%s", statusLine, fields, len(inner), inner)
	}
}

var malformed = map[string]form{
	"status 000":                         form(whole).with(" 200 OK", " 000 OK"),
	"status 000 without a reason":        form(whole).with(" 200 OK", " 000"),
	"status 000 without a body":          func(fields, _ string) string { return whole(fields, "")[:9] + "000" + whole(fields, "")[12:] },
	"status 000, a response as its body": inBody("HTTP/1.1 000 OK"),
	"status 099":                         form(whole).with(" 200 OK", " 099 OK"),
	"status +20":                         form(whole).with(" 200 OK", " +20 OK"),
	"status 20":                          form(whole).with(" 200 OK", " 20 OK"),
	"status 2x0":                         form(whole).with(" 200 OK", " 2x0 OK"),
	"status 2000":                        form(whole).with(" 200 OK", " 2000 OK"),
	"status 600":                         form(whole).with(" 200 OK", " 600 OK"),
	"status 999":                         form(whole).with(" 200 OK", " 999 OK"),
	"status 101":                         form(whole).with(" 200 OK", " 101 Switching Protocols"),
	"status 101 without a body":          func(string, string) string { return "HTTP/1.1 101 Switching Protocols\r\n\r\n" },
	"status 100 with a length":           form(whole).with(" 200 OK", " 100 Continue"),
	"status 100, a response as its body": inBody("HTTP/1.1 100 Continue"),
	"control byte in the reason":         form(whole).with(" 200 OK", " 200 O\x01K"),
	"version 2.0":                        form(whole).with("HTTP/1.1", "HTTP/2.0"),
	"version 0.9":                        form(whole).with("HTTP/1.1", "HTTP/0.9"),
	"version 1.0 with chunks":            form(chunked).with("HTTP/1.1", "HTTP/1.0"),
	"blank before a colon":               form(whole).with("X-Note:", "X-Note :"),
	"tab before a colon":                 form(whole).with("X-Note:", "X-Note\t:"),
	"blank in a name":                    form(whole).with("X-Note:", "X Note:"),
	"blank before a name":                form(whole).with("X-Note:", " X-Note:"),
	"tab before a name":                  form(whole).with("X-Note:", "\tX-Note:"),
	"blank before the first name":        form(whole).with("OK\r\n", "OK\r\n "),
	"blank before the empty line":        form(whole).with("\r\n\r\n", "\r\n \r\n\r\n"),
	"control byte in a name":             form(whole).with("X-Note:", "X-\x01Note:"),
	"NUL in a name":                      form(whole).with("X-Note:", "X-No\x00te:"),
	"carriage return in a name":          form(whole).with("X-Note:", "X-No\rte:"),
	"DEL in a name":                      form(whole).with("X-Note:", "X-Note\x7f:"),
	"byte over 127 in a name":            form(whole).with("X-Note:", "X-N\xf6te:"),
	"no name":                            form(whole).with("X-Note:", ":"),
	"no colon":                           form(whole).with("X-Note: full text", "X-Note"),
	"control byte in a value":            form(whole).with("full text", "full\x01text"),
	"carriage return in a value":         form(whole).with("full text", "full\rtext"),
	"blank in the length's name":         form(whole).with("Content-Length:", "Content Length:"),
	"blank after the length's name":      form(whole).with("Content-Length:", "Content-Length :"),
	"blank before the length's name":     form(whole).with("Content-Length:", " Content-Length:"),
	"control byte in the length's name":  form(whole).with("Content-Length:", "Content-\x02Length:"),
	"blank in the encoding's name":       form(chunked).with("Transfer-Encoding:", "Transfer Encoding:"),
	"blank after the encoding's name":    form(chunked).with("Transfer-Encoding:", "Transfer-Encoding :"),
	"blank before the encoding's name":   form(chunked).with("Transfer-Encoding:", " Transfer-Encoding:"),
}

var malformedTrailers = map[string]form{
	"blank in a trailer's name":        form(chunked).with("\r\n0\r\n", "\r\n0\r\nX Note: 1\r\n"),
	"control byte in a trailer's name": form(chunked).with("\r\n0\r\n", "\r\n0\r\nX\x01Note: 1\r\n"),
}

var proper = map[string]form{
	"length":           whole,
	"chunks":           chunked,
	"no reason":        form(whole).with(" 200 OK", " 200"),
	"empty reason":     form(whole).with(" 200 OK", " 200 "),
	"bytes over 127":   form(whole).with("full text", "pln\xfd text"),
	"tab in a value":   form(whole).with("full text", "full\ttext"),
	"empty value":      form(whole).with(" full text", ""),
	"odd characters":   form(whole).with("X-Note:", "!#$%&'*+-.^_`|~:"),
	"after status 103": form(whole).with("HTTP/1.1", "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1"),
	"after status 100": form(chunked).with("HTTP/1.1", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1"),
	"version 1.0":      form(whole).with("HTTP/1.1", "HTTP/1.0"),
	"trailer":          form(chunked).with("\r\n0\r\n", "\r\n0\r\nX-Note: 1\r\n"),
	"ends by closing":  form(whole).with("Content-Length:", "X-Length:"),
	"lines end with LF": func(fields, body string) string {
		head, _, _ := strings.Cut(whole(fields, body), "\r\n\r\n")
		return strings.ReplaceAll(head, "\r\n", "\n") + "\n\n" + body
	},
}

func build(forms map[string]form, fields, body string) map[string]string {
	out := make(map[string]string, len(forms))
	for name, f := range forms {
		out[name] = f(fields, body)
	}
	return out
}

// Malformed returns responses with the fields, which are lines, and the body. Each has one fault
// in its head.
func Malformed(fields, body string) map[string]string { return build(malformed, fields, body) }

// MalformedTrailers returns responses with one fault behind their body.
func MalformedTrailers(fields, body string) map[string]string {
	return build(malformedTrailers, fields, body)
}

// Proper returns responses that are complete once their connection is closed.
func Proper(fields, body string) map[string]string { return build(proper, fields, body) }
