//go:build review

package main

import (
	_ "embed"
	"encoding/json"
)

// protocolFile holds the platform's names, which the repository keeps out of Go files outside platform/.
//
//go:embed protocol.json
var protocolFile []byte

// wire holds the platform's names: header fields, the beginning of the paths of the store's calls, a field of the configuration
// and keys of the store.
var wire = readProtocol()

type protocol struct {
	RequestID        string `json:"request_id"`
	Deadline         string `json:"deadline"`
	Model            string `json:"model"`
	TokenCounts      string `json:"token_counts"`
	PromptPrefix     string `json:"prompt_prefix"`
	Instance         string `json:"instance"`
	ExpectedInstance string `json:"expected_instance"`
	NotExecuted      string `json:"not_executed"`
	Signature        string `json:"signature"`
	Confidence       string `json:"confidence"`
	Calls            string `json:"calls"`
	CacheTokens      string `json:"cache_tokens"`
	Configuration    string `json:"configuration"`
	Runners          string `json:"runners"`
}

func readProtocol() (p protocol) {
	if err := json.Unmarshal(protocolFile, &p); err != nil {
		panic(err) // the file is part of the program
	}
	return p
}
