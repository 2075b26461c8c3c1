// Package quarantiner finds the part of prompts under which engines crash, and says which prompts must not be sent.
//
// A prompt is made of parts that it shares with others. Every engine that begins to answer a prompt with a deadly part
// crashes, and the prompts that it runs break off with it. What distinguishes the deadly prompt is that no engine has begun
// to answer it. The instances collect, for each part, the crashes at which a prompt with it was about to be answered, and
// the last time that an engine did begin to answer such a prompt. A part with enough crashes since then is quarantined.
//
// Instances pass on what they see at once and with each heartbeat. Nothing is kept in the store.
package quarantiner
