//! The crashes that a request is involved in, and how they count against it.

use super::SUSPECT_CRASHES;
use super::suspect::Kind;
use dogwoodhill_core::prelude::*;

/// Time within which the loss of a failure domain stops its endpoints.
const DOMAIN_LOSS_WINDOW: Duration = Duration::from_millis(250);

/// Maximum number of requests that are stored for one crash under a part.
const MAX_CONTENTS: usize = 4;

/// The crash of an endpoint that was running a request.
#[derive(Clone, Debug)]
pub(super) struct Crash {
    /// Run of the endpoint.
    pub(super) run: Incarnation,
    /// Hash of its failure domain.
    pub(super) domain: u64,
    /// When the request was sent to the endpoint.
    pub(super) sent: Duration,
    /// When the connection broke.
    pub(super) at: Duration,
    /// Whether the request was on trial at the endpoint.
    pub(super) trial: bool,
    /// For a part, the requests with it that were lost.
    pub(super) contents: Vec<Fingerprint>,
}

impl Crash {
    /// Adds what `other` reports of the same crash.
    pub(super) fn merge(&mut self, other: &Self) {
        self.trial |= other.trial;
        for content in &other.contents {
            let known = self.contents.contains(content);
            if !known && self.contents.len() < MAX_CONTENTS {
                self.contents.push(*content);
            }
        }
    }
}

/// Number of independent crashes. Of endpoints of one failure domain that crashed within
/// [`DOMAIN_LOSS_WINDOW`], at most [`SUSPECT_CRASHES`] count, since the domain may have
/// been lost. The crash of an endpoint to which the request was sent only after another
/// crash is independent of that one.
pub(super) fn events(crashes: &[&Crash]) -> usize {
    let counts = |(at, crash): &(usize, &&Crash)| {
        let together = |other: &&&Crash| {
            let close = crash.at.saturating_sub(other.at) < DOMAIN_LOSS_WINDOW;
            close && other.domain == crash.domain && crash.sent <= other.at
        };
        crashes[..*at].iter().filter(together).count() < SUSPECT_CRASHES
    };
    crashes.iter().enumerate().filter(counts).count()
}

/// Number of independent crashes that speak against a suspect. A request that is sent again
/// and again is a suspect itself, so it supports a part that it has only once.
pub(super) fn support(kind: Kind, crashes: &[&Crash]) -> usize {
    match kind {
        Kind::Request => events(crashes),
        Kind::Part { .. } => events(crashes).min(distinct_requests(crashes)),
    }
}

/// Largest number of crashes that can each be assigned a different lost request.
fn distinct_requests(crashes: &[&Crash]) -> usize {
    let mut assigned: Vec<(Fingerprint, usize)> = Vec::new();
    let found = (0..crashes.len())
        .filter(|at| assign_request(crashes, *at, &mut assigned, &mut Vec::new()));
    found.count()
}

/// Assigns a request to crash `at`, moving those of other crashes where necessary.
/// `visited` are the requests that were tried for it.
fn assign_request(
    crashes: &[&Crash],
    at: usize,
    assigned: &mut Vec<(Fingerprint, usize)>,
    visited: &mut Vec<Fingerprint>,
) -> bool {
    for content in &crashes[at].contents {
        if visited.contains(content) {
            continue;
        }
        visited.push(*content);
        let holder = assigned.iter().position(|known| known.0 == *content);
        match holder {
            None => assigned.push((*content, at)),
            Some(holder) => {
                let other = assigned[holder].1;
                if !assign_request(crashes, other, assigned, visited) {
                    continue;
                }
                assigned[holder].1 = at;
            }
        }
        return true;
    }
    false
}
