//! What a stand-in engine says: words that follow from the prompt alone.

use serde::Deserialize;

/// Words an answer is made of.
const WORDS: [&str; 16] = [
    "amber", "basin", "cedar", "delta", "ember", "fjord", "grove", "haven", "inlet",
    "jetty", "knoll", "ledge", "marsh", "night", "ocean", "plain",
];
/// Fewest tokens of an answer whose length is not asked for.
const MIN_TOKENS: u64 = 4;
/// Most tokens of such an answer.
const MAX_TOKENS: u64 = 256;

/// What a stand-in reads of a request.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct Asked {
    /// Model.
    #[serde(default)]
    pub model: String,
    /// Messages of a chat.
    #[serde(default)]
    pub messages: Vec<Message>,
    /// Prompt of a text completion.
    #[serde(default)]
    pub prompt: String,
    /// Whether to stream.
    #[serde(default)]
    pub stream: bool,
    /// Length of the answer in tokens.
    #[serde(default)]
    pub max_tokens: Option<u32>,
}

/// One message of a chat.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct Message {
    /// Text.
    #[serde(default)]
    pub content: String,
}

impl Asked {
    /// The prompt, whatever form it was given in.
    pub fn prompt(&self) -> String {
        let mut prompt = self.prompt.clone();
        for message in &self.messages {
            prompt.push_str(&message.content);
        }
        prompt
    }

    /// Tokens of the answer: as asked, else drawn from the prompt's hash with
    /// a long tail, since nobody knows the length of an answer beforehand.
    pub fn tokens(&self) -> u32 {
        if let Some(tokens) = self.max_tokens {
            return tokens;
        }
        let draw = hash(&self.prompt(), u64::MAX) % 1000;
        let spread = MAX_TOKENS - MIN_TOKENS;
        (MIN_TOKENS + spread * draw * draw / 1_000_000) as u32
    }
}

/// FNV-1a with the token's position mixed in: spreads well enough to tell
/// answers apart, and needs no library.
fn hash(prompt: &str, position: u64) -> u64 {
    const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    let mut state = OFFSET ^ position.wrapping_mul(PRIME);
    for byte in prompt.bytes() {
        state = (state ^ u64::from(byte)).wrapping_mul(PRIME);
    }
    state ^ (state >> 29)
}

/// Token `position` of the answer to `prompt`, with a space after it.
pub fn token(prompt: &str, position: u32) -> String {
    let word = WORDS[(hash(prompt, position.into()) % 16) as usize];
    format!("{word} ")
}

/// The whole answer to `prompt` in `tokens` tokens.
pub fn answer(prompt: &str, tokens: u32) -> String {
    (0..tokens)
        .map(|position| token(prompt, position))
        .collect()
}
