//! Claims of non-idempotent requests, behind a trait.
//!
//! A request of a class that may not be repeated and that carries an
//! idempotency key is claimed before it is sent anywhere. Without a
//! confirmation it is not sent: "not sure whether it was claimed" means
//! `not-run`, because nothing went to an endpoint.

use derive_more::{Display, Error};
use dogwoodhill_wire::control::{Finish, Take, Taken};
use std::fmt::Debug;
use std::pin::Pin;

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
    fn take<'a>(&'a self, take: &'a Take) -> Claiming<'a, Taken>;

    /// Reports how it ended.
    fn finish<'a>(&'a self, finish: &'a Finish) -> Claiming<'a, ()>;
}

/// A deployment without control instances: nothing can be claimed.
#[derive(Debug)]
pub struct NoClaims;

impl Claims for NoClaims {
    fn take<'a>(&'a self, _take: &'a Take) -> Claiming<'a, Taken> {
        Box::pin(async { Err(Unconfirmed) })
    }

    fn finish<'a>(&'a self, _finish: &'a Finish) -> Claiming<'a, ()> {
        Box::pin(async { Err(Unconfirmed) })
    }
}
