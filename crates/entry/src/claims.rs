//! Claims of non-idempotent requests, behind a trait.
//!
//! A request of a class that may not be repeated and that carries an
//! idempotency key is claimed before it is sent anywhere. Without a
//! confirmation it is not sent: "not sure whether it was claimed" means
//! `not-run`, because nothing went to an endpoint.

use derive_more::{Display, Error};
use dogwoodhill_core::prelude::*;
use dogwoodhill_wire::control::{
    ClaimEnd, ClaimReply, FINISH_PATH, FinishClaim, TAKE_PATH, TakeClaim,
};
use dogwoodhill_wire::control_client::ControlClient;
use std::fmt::Debug;
use std::pin::Pin;

/// Longest wait for a claim: a caller is told within it.
const TAKE_WITHIN: Duration = Duration::from_secs(2);
/// Longest time the end of a claim is reported for. What is not reported then
/// counts as unknown.
const FINISH_WITHIN: Duration = Duration::from_secs(60);

/// No claim could be confirmed.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("no majority of the control instances confirmed the claim")]
pub struct Unconfirmed;

/// A claim call in progress.
pub type Claiming<'a, T> =
    Pin<Box<dyn Future<Output = Result<T, Unconfirmed>> + Send + 'a>>;

/// Keeper of claims.
pub trait Claims: Send + Sync + Debug {
    /// Claims a request.
    fn take<'a>(&'a self, take: &'a TakeClaim) -> Claiming<'a, ClaimReply>;

    /// Reports how it ended.
    fn finish<'a>(&'a self, finish: &'a FinishClaim) -> Claiming<'a, ()>;
}

/// A deployment without control instances: nothing can be claimed.
#[derive(Debug)]
pub struct NoClaims;

impl Claims for NoClaims {
    fn take<'a>(&'a self, _take: &'a TakeClaim) -> Claiming<'a, ClaimReply> {
        Box::pin(async { Err(Unconfirmed) })
    }

    fn finish<'a>(&'a self, _finish: &'a FinishClaim) -> Claiming<'a, ()> {
        Box::pin(async { Err(Unconfirmed) })
    }
}

/// Claims kept by the control instances.
#[derive(Debug)]
pub struct ControlClaims {
    set: ControlClient,
}

impl ControlClaims {
    /// Claims at the instances of `set`.
    pub fn new(set: ControlClient) -> Self {
        Self { set }
    }

    /// Gives back a claim that may have been granted without this entry
    /// hearing of it, so that the caller's next try is not told that the
    /// request is in progress.
    fn give_back(&self, take: &TakeClaim) {
        let set = self.set.clone();
        let finish = FinishClaim {
            claim: take.claim.clone(),
            holder: take.holder,
            ended: ClaimEnd::NotRun,
        };
        tokio::spawn(async move {
            let _ = set.call::<_, ()>(FINISH_PATH, &finish, FINISH_WITHIN).await;
        });
    }
}

impl Claims for ControlClaims {
    fn take<'a>(&'a self, take: &'a TakeClaim) -> Claiming<'a, ClaimReply> {
        Box::pin(async move {
            let asked = self.set.call(TAKE_PATH, take, TAKE_WITHIN).await;
            asked.map_err(|_| {
                self.give_back(take);
                Unconfirmed
            })
        })
    }

    fn finish<'a>(&'a self, finish: &'a FinishClaim) -> Claiming<'a, ()> {
        Box::pin(async move {
            let asked = self.set.call(FINISH_PATH, finish, FINISH_WITHIN).await;
            asked.map_err(|_| Unconfirmed)
        })
    }
}
