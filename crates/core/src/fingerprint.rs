//! Fingerprints that identify repetitions of a request.
//!
//! When a caller retries a request, its id and some headers change. The workspace,
//! method, host, target and body stay the same and form the fingerprint.

use crate::ids::WorkspaceId;
use sha2::{Digest, Sha256};

/// Keyed 128-bit digest of a request's content and workspace.
pub type Fingerprint = u128;

/// Number of hexadecimal digits of a fingerprint in logs: enough to find the attempts of
/// a request, too few to verify a guess of its body.
const SHORT_DIGITS: usize = 8;

/// The parts of a request that make up its fingerprint.
#[derive(Clone, Copy, Debug)]
pub struct RequestContent<'a> {
    /// Workspace of the caller; `None` if callers are not authenticated.
    pub workspace: Option<&'a WorkspaceId>,
    /// HTTP method.
    pub method: &'a str,
    /// Host, without its port.
    pub host: &'a str,
    /// Path and query.
    pub target: &'a str,
    /// Body.
    pub body: &'a [u8],
}

/// Computes fingerprints with a secret key, so that callers can't produce a chosen
/// fingerprint. Daemons with the same key compute the same fingerprints.
#[derive(Clone, Debug)]
pub struct Fingerprinter {
    keyed: Sha256,
}

impl Fingerprinter {
    /// Creates a fingerprinter with the key shared by the router's processes.
    pub fn new(key: &str) -> Self {
        let mut fingerprinter = Self {
            keyed: Sha256::new(),
        };
        hash_part(&mut fingerprinter.keyed, key.as_bytes());
        fingerprinter
    }

    /// Computes the fingerprint of a request.
    pub fn of(&self, content: &RequestContent<'_>) -> Fingerprint {
        let mut hash = self.keyed.clone();
        hash.update([u8::from(content.workspace.is_some())]);
        let workspace = content.workspace.map_or("", String::as_str);
        for text in [workspace, content.method, content.host, content.target] {
            hash_part(&mut hash, text.as_bytes());
        }
        hash_part(&mut hash, content.body);
        let digest: [u8; 32] = hash.finalize().into();
        let mut half = [0; 16];
        half.copy_from_slice(&digest[..16]);
        Fingerprint::from_be_bytes(half)
    }

    /// Computes the fingerprint of a part that prompts of one workspace share.
    pub fn of_part(&self, workspace: Option<&WorkspaceId>, part: &str) -> Fingerprint {
        let hash = self.tagged(4, workspace, part);
        let mut half = [0; 16];
        half.copy_from_slice(&hash[..16]);
        Fingerprint::from_be_bytes(half)
    }

    /// Computes a digest of one attempt of a workspace's caller.
    pub fn of_attempt(&self, workspace: Option<&WorkspaceId>, attempt: &str) -> u64 {
        let hash = self.tagged(2, workspace, attempt);
        let mut start = [0; 8];
        start.copy_from_slice(&hash[..8]);
        u64::from_be_bytes(start)
    }

    /// Digest of a text of a workspace. The tag, an even number from 2, separates kinds of
    /// text from each other and from requests, which begin with 0 or 1.
    fn tagged(&self, tag: u8, workspace: Option<&WorkspaceId>, text: &str) -> [u8; 32] {
        let mut hash = self.keyed.clone();
        hash.update([tag + u8::from(workspace.is_some())]);
        let workspace = workspace.map_or("", String::as_str);
        for text in [workspace, text] {
            hash_part(&mut hash, text.as_bytes());
        }
        hash.finalize().into()
    }
}

/// Hashes one part prefixed with its length, so that different sequences of parts never
/// give the same input.
fn hash_part(hash: &mut Sha256, bytes: &[u8]) {
    hash.update((bytes.len() as u64).to_be_bytes());
    hash.update(bytes);
}

/// Returns the leading digits of a fingerprint, for logs.
pub fn short_form(fingerprint: Fingerprint) -> String {
    let mut text = format!("{fingerprint:032x}");
    text.truncate(SHORT_DIGITS);
    text
}
