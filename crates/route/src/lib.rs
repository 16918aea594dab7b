//! Route sets: one versioned document with the routes of all services.
//!
//! A change that moves routes between services or revokes a key must take effect
//! atomically: a part of it could route callers to a service that doesn't exist. A
//! [`set::RouteSet`] is therefore validated, accepted and replaced as one value.
//! Operators assign its version, which may increase by any step; the highest version is
//! in force at every entry.
//!
//! The crate performs no I/O. [`set`] defines the value, [`check`] its validation and
//! [`table`] the index that entries use to look up routes and keys.

pub mod check;
pub mod set;
pub mod table;

/// Re-exports of the names that most modules use.
pub mod prelude {
    pub use crate::check::InvalidRouteSet;
    pub use crate::set::{
        Engine, Events, Limits, Route, RouteSet, RouteWorkspace, ServiceDeclaration,
        Target,
    };
    pub use crate::table::{Admitted, Denied, RouteTable};
    pub use dogwoodhill_policy::urgency::Rank;
}
