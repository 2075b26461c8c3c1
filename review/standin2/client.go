package main

import (
	"bufio"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// Consumer sends requests on a channel that it keeps.
type Consumer struct {
	target string
	conn   net.Conn
	reader *bufio.Reader
}

func newID() string {
	var random [8]byte
	_, _ = rand.Read(random[:])
	return hex.EncodeToString(random[:])
}

// Answer is what a consumer got: status 0 means that the channel ended without a whole answer.
type Answer struct {
	status int
	header http.Header
	body   []byte
	err    error
}

// open opens the channel unless it is open.
func (c *Consumer) open() error {
	if c.conn != nil {
		return nil
	}
	conn, err := net.DialTimeout("tcp", c.target, time.Second)
	if err != nil {
		return err
	}
	c.conn, c.reader = conn, bufio.NewReader(conn)
	return nil
}

// send sends one request and reads its answer.
func (c *Consumer) send(method, path, host string, header map[string]string, body []byte, timeout time.Duration) Answer {
	answer, _ := c.upload(method, path, host, header, body, 0, timeout)
	return answer
}

// upload sends one request, whose body takes a time, and reads its answer. It returns when the last byte was sent.
func (c *Consumer) upload(method, path, host string, header map[string]string, body []byte, taking, timeout time.Duration) (Answer, time.Time) {
	if err := c.open(); err != nil {
		return Answer{err: err}, time.Now()
	}
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n", method, path, host)
	for name, value := range header {
		text += name + ": " + value + "\r\n"
	}
	if method != http.MethodGet {
		text += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	_ = c.conn.SetDeadline(time.Now().Add(timeout))
	parts := []string{text + "\r\n" + string(body)}
	if taking > 0 {
		parts = []string{text + "\r\n" + string(body[:len(body)/2]), string(body[len(body)/2:])}
	}
	for i, part := range parts {
		if i > 0 {
			time.Sleep(taking)
		}
		if _, err := io.WriteString(c.conn, part); err != nil {
			c.close()
			return Answer{err: err}, time.Now()
		}
	}
	sent := time.Now()
	response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		c.close()
		return Answer{err: err}, sent
	}
	data, err := io.ReadAll(response.Body)
	if err != nil {
		c.close()
		return Answer{status: 0, header: response.Header, body: data, err: err}, sent
	}
	if response.Close {
		c.close()
	}
	return Answer{status: response.StatusCode, header: response.Header, body: data}, sent
}

func (c *Consumer) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}
