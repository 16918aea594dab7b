//! Claims of non-idempotent requests.
//!
//! A key is granted once within its retention period, unless the holder reports that the
//! request did not run. If the holder reports no outcome by its deadline, the outcome
//! counts as unknown.
//!
//! Claims are distributed over shards by hash. Each shard is a sorted vector, so the cost
//! of an insertion stays small regardless of the total number of claims.

use dogwoodhill_core::prelude::*;
use dogwoodhill_wire::control::{ClaimEnd, ClaimKey, ClaimReply, FinishClaim, TakeClaim};
use serde::{Deserialize, Serialize};

const SHARDS: usize = 1024;

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct Claim {
    key: ClaimKey,
    digest: [u8; 32],
    holder: AttemptId,
    /// Time until which the request may be in progress.
    deadline: Duration,
    /// Time until which the claim is retained.
    retained_until: Duration,
    ended: Option<ClaimEnd>,
}

/// All retained claims.
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
        shard.retain(|claim| claim.retained_until > now);
        match shard.binary_search_by(|claim| claim.key.cmp(&take.claim)) {
            Ok(at) => answer_repeat(now, &shard[at], take),
            Err(at) => {
                shard.insert(
                    at,
                    Claim {
                        key: take.claim.clone(),
                        digest: take.digest,
                        holder: take.holder,
                        deadline: now + take.duration,
                        retained_until: now + take.duration + take.retention,
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

/// Replies to a request whose key is already claimed.
fn answer_repeat(now: Duration, claim: &Claim, take: &TakeClaim) -> ClaimReply {
    if claim.digest != take.digest {
        return ClaimReply::Reused;
    }
    if claim.holder == take.holder && claim.ended.is_none() && now < claim.deadline {
        // The holder repeats the call because it lost the reply.
        return ClaimReply::Granted;
    }
    match &claim.ended {
        Some(ended) => ClaimReply::Ended(ended.clone()),
        None if now < claim.deadline => ClaimReply::InProgress,
        None => ClaimReply::Ended(ClaimEnd::Unknown),
    }
}
