package main

import (
	_ "embed"
	"encoding/json"
)

// protocolFile holds the names of the platform's protocol, which the repository keeps out of Go files elsewhere.
//
//go:embed protocol.json
var protocolFile []byte

// names are the names of the platform's protocol: header fields, and paths and keys of the store.
var names = func() (n struct {
	RequestID        string `json:"request_id"`
	Deadline         string `json:"deadline"`
	Model            string `json:"model"`
	TokenCounts      string `json:"token_counts"`
	PromptPrefix     string `json:"prompt_prefix"`
	Instance         string `json:"instance"`
	ExpectedInstance string `json:"expected_instance"`
	Signature        string `json:"signature"`
	WatchPath        string `json:"watch_path"`
	ConfigurationKey string `json:"configuration_key"`
	RunnersPrefix    string `json:"runners_prefix"`
	CacheTokens      string `json:"cache_tokens"`
},
) {
	if err := json.Unmarshal(protocolFile, &n); err != nil {
		panic(err) // the file is part of the program
	}
	return n
}()
