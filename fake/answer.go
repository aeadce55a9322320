package fake

import (
	"encoding/json"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// defaultTokens is the number of tokens in the answer to a body without
// max_tokens.
const defaultTokens = 16

// chatBody holds the fields of a chat request that the engine uses.
type chatBody struct {
	MaxTokens int  `json:"max_tokens"`
	Stream    bool `json:"stream"`
}

// AnswerTokens returns the number of tokens in the engine's answer to a body.
func AnswerTokens(body []byte) int {
	var b chatBody
	if err := json.Unmarshal(body, &b); err != nil || b.MaxTokens <= 0 {
		return defaultTokens
	}
	return b.MaxTokens
}

// EngineAnswer returns the whole text of the engine's answer to a body. It depends
// only on the body, so that a caller can check that it got its own answer.
func EngineAnswer(body []byte) string {
	seed := xxhash.Sum64(body)
	var s strings.Builder
	for i := range AnswerTokens(body) {
		s.WriteString(token(seed, i))
	}
	return s.String()
}

// token returns token number i, counted from 0, of the answer with the given seed.
func token(seed uint64, i int) string {
	h := (seed + uint64(i)) * 0x9e3779b97f4a7c15 // #nosec G115
	h ^= h >> 29
	return strconv.Itoa(i) + "-" + strconv.FormatUint(h&0xfffff, 36) + " "
}

// PlainServiceAnswer returns the JSON answer of a plain service. It depends only on
// the call.
func PlainServiceAnswer(method, path string, body []byte) []byte {
	answer, _ := json.Marshal(map[string]string{
		"method": method,
		"path":   path,
		"echo":   string(body),
		"sum":    strconv.FormatUint(xxhash.Sum64(body)^xxhash.Sum64String(method+" "+path), 16),
	})
	return answer
}
