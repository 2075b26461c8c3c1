package forwarder

import "encoding/json"

// usageAnswer is the part of an answer or event that states the token usage.
type usageAnswer struct {
	Usage *struct {
		Prompt    int64 `json:"prompt_tokens"`
		Generated int64 `json:"completion_tokens"`
	} `json:"usage"`
}

// readUsage copies the token usage of an answer or an event into the result.
func (r *Result) readUsage(data []byte) error {
	var answer usageAnswer
	if err := json.Unmarshal(data, &answer); err != nil {
		return err
	}
	if answer.Usage != nil {
		r.PromptTokens = answer.Usage.Prompt
		r.GeneratedTokens = answer.Usage.Generated
		r.HasUsage = true
	}
	return nil
}
