//! Claims: which non-idempotent requests were given out.
//!
//! A key is granted once in its retention and never again, unless the holder
//! reported that the request was not run. A claim whose holder reported
//! nothing within its time counts as unknown.
//!
//! Claims are spread over shards by a hash, each a sorted vector, so that an
//! insertion moves a few entries however many claims are kept.

use dogwoodhill_core::prelude::*;
use dogwoodhill_wire::control::{ClaimEnd, ClaimKey, ClaimReply, FinishClaim, TakeClaim};
use serde::{Deserialize, Serialize};

/// Number of shards.
const SHARDS: usize = 1024;

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct Claim {
    key: ClaimKey,
    digest: [u8; 32],
    holder: AttemptId,
    /// Until when the request may be in progress.
    until: Duration,
    /// Until when the claim is kept.
    kept: Duration,
    ended: Option<ClaimEnd>,
}

/// All claims.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(super) struct Claims {
    shards: Vec<Vec<Claim>>,
}

impl Default for Claims {
    fn default() -> Self {
        Self {
            shards: vec![Vec::new(); SHARDS],
        }
    }
}

impl Claims {
    pub(super) fn len(&self) -> usize {
        self.shards.iter().map(Vec::len).sum()
    }

    pub(super) fn take(&mut self, now: Duration, take: &TakeClaim) -> ClaimReply {
        let shard = self.shard(&take.claim);
        shard.retain(|claim| claim.kept > now);
        match shard.binary_search_by(|claim| claim.key.cmp(&take.claim)) {
            Ok(at) => again(now, &shard[at], take),
            Err(at) => {
                shard.insert(
                    at,
                    Claim {
                        key: take.claim.clone(),
                        digest: take.digest,
                        holder: take.holder,
                        until: now + take.duration,
                        kept: now + take.duration + take.retention,
                        ended: None,
                    },
                );
                ClaimReply::Granted
            }
        }
    }

    pub(super) fn finish(&mut self, finish: &FinishClaim) {
        let shard = self.shard(&finish.claim);
        let found = shard.binary_search_by(|claim| claim.key.cmp(&finish.claim));
        let Ok(at) = found else { return };
        let claim = &mut shard[at];
        if claim.holder != finish.holder || claim.ended.is_some() {
            return;
        }
        match &finish.ended {
            ClaimEnd::NotRun => {
                shard.remove(at);
            }
            ended => claim.ended = Some(ended.clone()),
        }
    }

    fn shard(&mut self, key: &ClaimKey) -> &mut Vec<Claim> {
        let mut hasher = crc32fast::Hasher::new();
        for part in [&key.service, &key.workspace, &key.key] {
            hasher.update(part.as_bytes());
        }
        &mut self.shards[hasher.finalize() as usize % SHARDS]
    }
}

/// Answers a key that is known.
fn again(now: Duration, claim: &Claim, take: &TakeClaim) -> ClaimReply {
    if claim.digest != take.digest {
        return ClaimReply::Reused;
    }
    if claim.holder == take.holder && claim.ended.is_none() && now < claim.until {
        // The same delivery asks again, because it lost the answer.
        return ClaimReply::Granted;
    }
    match &claim.ended {
        Some(ended) => ClaimReply::ClaimEnd(ended.clone()),
        None if now < claim.until => ClaimReply::InProgress,
        None => ClaimReply::ClaimEnd(ClaimEnd::Unknown),
    }
}
