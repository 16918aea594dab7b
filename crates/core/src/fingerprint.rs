//! Telling whether two requests ask for the same.
//!
//! Each attempt of a caller has an id of its own, and headers that change from one to
//! the next. What stays is the caller's workspace, the method, the target and the body.

use crate::ids::WorkspaceId;
use sha2::{Digest, Sha256};

/// Digest of what a request asks, and of whose it is.
pub type Fingerprint = u128;

/// Hexadecimal digits of a fingerprint that logs show: enough to find the attempts of one
/// request, too few to test what a body may have been.
const SHOWN_DIGITS: usize = 8;

/// What a fingerprint is made of.
#[derive(Clone, Copy, Debug)]
pub struct RequestContent<'a> {
    /// Workspace of the caller, where callers have one.
    pub workspace: Option<&'a WorkspaceId>,
    /// Method.
    pub method: &'a str,
    /// Host, without its port.
    pub host: &'a str,
    /// Path and query.
    pub target: &'a str,
    /// Body.
    pub body: &'a [u8],
}

/// Makes fingerprints with a key that callers don't know, so that none of them can choose
/// what its fingerprint is. Daemons with the same key make the same ones.
#[derive(Clone, Debug)]
pub struct Fingerprinter {
    keyed: Sha256,
}

impl Fingerprinter {
    /// A maker with the key that the router's processes share.
    pub fn new(key: &str) -> Self {
        let mut maker = Self {
            keyed: Sha256::new(),
        };
        part(&mut maker.keyed, key.as_bytes());
        maker
    }

    /// The fingerprint of a request.
    pub fn of(&self, content: &RequestContent<'_>) -> Fingerprint {
        let mut hash = self.keyed.clone();
        hash.update([u8::from(content.workspace.is_some())]);
        let workspace = content.workspace.map_or("", String::as_str);
        for text in [workspace, content.method, content.host, content.target] {
            part(&mut hash, text.as_bytes());
        }
        part(&mut hash, content.body);
        let digest: [u8; 32] = hash.finalize().into();
        let mut half = [0; 16];
        half.copy_from_slice(&digest[..16]);
        Fingerprint::from_be_bytes(half)
    }
}

/// Hashes one part with its length, so that no two lists of parts look alike.
fn part(hash: &mut Sha256, bytes: &[u8]) {
    hash.update((bytes.len() as u64).to_be_bytes());
    hash.update(bytes);
}

/// The beginning of a fingerprint, for logs.
pub fn short_form(fingerprint: Fingerprint) -> String {
    let mut text = format!("{fingerprint:032x}");
    text.truncate(SHOWN_DIGITS);
    text
}
