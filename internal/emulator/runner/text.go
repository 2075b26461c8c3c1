package runner

import (
	"hash/fnv"
	"io"
	"strings"
)

// Token returns the n-th token, counted from 0, of the answer with that seed:
// six hexadecimal digits and a space.
func Token(seed uint64, n int) string {
	const digits = "0123456789abcdef"
	x := mix(seed + uint64(n)*0x9e3779b97f4a7c15)
	var text [7]byte
	for i := range 6 {
		text[i] = digits[x>>(4*i)&15]
	}
	text[6] = ' '
	return string(text[:])
}

// Seed returns the seed that determines the answer to a prompt. The model is the
// checkpoint or adapter that the engine's request names.
func Seed(model, prompt string) uint64 {
	digest := fnv.New64a()
	_, _ = io.WriteString(digest, model)
	_, _ = digest.Write([]byte{0})
	_, _ = io.WriteString(digest, prompt)
	return digest.Sum64()
}

// Text returns the complete answer to a prompt, of the given number of tokens.
func Text(model, prompt string, tokens int) string {
	seed := Seed(model, prompt)
	var text strings.Builder
	text.Grow(7 * tokens)
	for i := range tokens {
		text.WriteString(Token(seed, i))
	}
	return text.String()
}

// mix is the finalizer of splitmix64, which spreads the bits of its argument.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
