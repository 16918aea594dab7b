//! Request format and generated text of a simulated engine.
//!
//! The text is a function of the prompt alone, so a caller can compute the response that
//! it must receive.

use serde::Deserialize;

/// Vocabulary: each token is one of these words and a space.
const WORDS: [&str; 16] = [
    "amber", "basin", "cedar", "delta", "ember", "fjord", "grove", "haven", "inlet",
    "jetty", "knoll", "ledge", "marsh", "night", "ocean", "plain",
];
/// Shortest answer to a request without `max_tokens`.
const MIN_DRAWN_TOKENS: u64 = 4;
/// Longest answer to a request without `max_tokens`.
const MAX_DRAWN_TOKENS: u64 = 256;

/// The fields of a completion request that a simulated engine reads.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct CompletionRequest {
    /// Model name; does not affect the answer.
    #[serde(default)]
    pub model: String,
    /// Messages of a chat; empty for a text completion.
    #[serde(default)]
    pub messages: Vec<Message>,
    /// Prompt of a text completion; empty for a chat.
    #[serde(default)]
    pub prompt: String,
    /// Whether the answer is sent as server-sent events.
    #[serde(default)]
    pub stream: bool,
    /// Exact length of the answer in tokens; drawn from the prompt if absent.
    #[serde(default)]
    pub max_tokens: Option<u32>,
}

/// One message of a chat.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct Message {
    /// Text of the message.
    #[serde(default)]
    pub content: String,
}

impl CompletionRequest {
    /// Prompt followed by the contents of all messages.
    pub fn prompt(&self) -> String {
        let mut prompt = self.prompt.clone();
        for message in &self.messages {
            prompt.push_str(&message.content);
        }
        prompt
    }

    /// Length of the answer in tokens: `max_tokens`, or a length drawn from the prompt's
    /// hash. The draw is long-tailed like real outputs, whose length is not known in
    /// advance.
    pub fn tokens(&self) -> u32 {
        if let Some(tokens) = self.max_tokens {
            return tokens;
        }
        let draw = hash(&self.prompt(), u64::MAX) % 1000;
        let spread = MAX_DRAWN_TOKENS - MIN_DRAWN_TOKENS;
        (MIN_DRAWN_TOKENS + spread * draw * draw / 1_000_000) as u32
    }
}

/// FNV-1a with the token's position mixed in. It disperses well enough to distinguish
/// answers and needs no dependency.
fn hash(prompt: &str, position: u64) -> u64 {
    const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    let mut state = OFFSET ^ position.wrapping_mul(PRIME);
    for byte in prompt.bytes() {
        state = (state ^ u64::from(byte)).wrapping_mul(PRIME);
    }
    state ^ (state >> 29)
}

/// Token at `position` of the answer to `prompt`, with a trailing space.
pub fn token(prompt: &str, position: u32) -> String {
    let word = WORDS[(hash(prompt, position.into()) % 16) as usize];
    format!("{word} ")
}

/// Complete answer to `prompt` of `tokens` tokens.
pub fn answer(prompt: &str, tokens: u32) -> String {
    (0..tokens)
        .map(|position| token(prompt, position))
        .collect()
}
