//! Claims of non-idempotent requests, behind the trait [`ClaimStore`].
//!
//! A request of a class that must not be repeated, and that carries an idempotency key,
//! is claimed before it is sent to an endpoint. Without a confirmed claim it is not sent.
//! An unconfirmed claim therefore has the outcome `not-run`.

use derive_more::{Display, Error};
use dogwoodhill_core::prelude::*;
use dogwoodhill_wire::control::{
    ClaimEnd, ClaimReply, FINISH_PATH, FinishClaim, TAKE_PATH, TakeClaim,
};
use dogwoodhill_wire::control_client::ControlClient;
use std::fmt::Debug;
use std::pin::Pin;

/// Limit on taking a claim, after which the caller gets an error.
const TAKE_TIMEOUT: Duration = Duration::from_secs(2);
/// Limit on reporting the end of a claim. A claim whose end is not reported has an
/// unknown outcome.
const FINISH_TIMEOUT: Duration = Duration::from_secs(60);

/// The claim was not confirmed.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("no majority of the control instances confirmed the claim")]
pub struct Unconfirmed;

/// The future of a call to the claim store.
pub type ClaimFuture<'a, T> =
    Pin<Box<dyn Future<Output = Result<T, Unconfirmed>> + Send + 'a>>;

/// A store of claims.
pub trait ClaimStore: Send + Sync + Debug {
    /// Takes the claim of a request.
    fn take<'a>(&'a self, take: &'a TakeClaim) -> ClaimFuture<'a, ClaimReply>;

    /// Reports the end of a claimed request.
    fn finish<'a>(&'a self, finish: &'a FinishClaim) -> ClaimFuture<'a, ()>;
}

/// The store of a deployment without control instances: it confirms no claim.
#[derive(Debug)]
pub struct NoClaimStore;

impl ClaimStore for NoClaimStore {
    fn take<'a>(&'a self, _take: &'a TakeClaim) -> ClaimFuture<'a, ClaimReply> {
        Box::pin(async { Err(Unconfirmed) })
    }

    fn finish<'a>(&'a self, _finish: &'a FinishClaim) -> ClaimFuture<'a, ()> {
        Box::pin(async { Err(Unconfirmed) })
    }
}

/// Claims stored by the control instances.
#[derive(Debug)]
pub struct ControlClaimStore {
    client: ControlClient,
}

impl ControlClaimStore {
    /// Creates a store that uses `client`.
    pub fn new(client: ControlClient) -> Self {
        Self { client }
    }

    /// Releases a claim that may have been granted although no confirmation arrived, so
    /// that a retry by the caller is not rejected as in progress.
    fn release(&self, take: &TakeClaim) {
        let client = self.client.clone();
        let finish = FinishClaim {
            claim: take.claim.clone(),
            holder: take.holder,
            ended: ClaimEnd::NotRun,
        };
        tokio::spawn(async move {
            let _ = client
                .call::<_, ()>(FINISH_PATH, &finish, FINISH_TIMEOUT)
                .await;
        });
    }
}

impl ClaimStore for ControlClaimStore {
    fn take<'a>(&'a self, take: &'a TakeClaim) -> ClaimFuture<'a, ClaimReply> {
        Box::pin(async move {
            let reply = self.client.call(TAKE_PATH, take, TAKE_TIMEOUT).await;
            reply.map_err(|_| {
                self.release(take);
                Unconfirmed
            })
        })
    }

    fn finish<'a>(&'a self, finish: &'a FinishClaim) -> ClaimFuture<'a, ()> {
        Box::pin(async move {
            let reply = self.client.call(FINISH_PATH, finish, FINISH_TIMEOUT).await;
            reply.map_err(|_| Unconfirmed)
        })
    }
}
