//! Route sets: one versioned document over all services.
//!
//! A team that moves routes between services, or takes a key away, needs the
//! change to be in force as a whole: half of it would send callers to a
//! service that is not there. A [`set::RouteSet`] is therefore checked,
//! accepted and replaced as one value. Its version is given from outside and
//! may rise by any step; the highest version wins everywhere.
//!
//! This crate holds no I/O. [`set`] is the value, [`check`] tells what makes a
//! set unusable, [`table`] is the form in which entries look routes and keys
//! up.

pub mod check;
pub mod set;
pub mod table;

/// The names most modules need, for one import line.
pub mod prelude {
    pub use crate::check::InvalidRouteSet;
    pub use crate::set::{Events, Limits, Route, RouteSet, RouteWorkspace, Target};
    pub use crate::table::{Admitted, Denied, RouteTable};
    pub use dogwoodhill_policy::urgency::Rank;
}
