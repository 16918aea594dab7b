//! The route set: accepting it from operators, handing it to entries.
//!
//! A set is checked before it enters the log, and refused there and then; the
//! log itself keeps it as the text that was sent, so that a read returns what
//! was written. The state machine lets the highest version win.

use crate::command::{Action, Reply};
use crate::presence::Presence;
use crate::replica::Replica;
use crate::service::Service;
use crate::sets::Sets;
use derive_more::{Display, Error};
use dogwoodhill_core::prelude::*;
use dogwoodhill_route::check::InvalidRouteSet;
use dogwoodhill_route::set::SetFormat;
use dogwoodhill_wire::compress::DecompressError;
use dogwoodhill_wire::control::{ControlReply, ControlUnavailable};
use dogwoodhill_wire::routes::{RoutesStatus, StoredRoutes, WatchRoutes};
use http::StatusCode;
use tokio::time::{Instant, timeout_at};

/// Longest poll that is taken.
const MAX_WAIT: Duration = Duration::from_secs(60);

/// Why a route set was not accepted or could not be read.
#[derive(Debug, Display, Error)]
pub enum RoutesError {
    /// The set is unusable, and nothing changed.
    #[display("{source}")]
    Invalid {
        /// Why.
        source: InvalidRouteSet,
    },
    /// Whether the set is in force is not known.
    #[display("no majority confirmed in time; send the same set again")]
    NoMajority,
    /// The set in force can't be unpacked.
    #[display("{source}")]
    Unreadable {
        /// Why.
        source: DecompressError,
    },
    /// No set was accepted yet.
    #[display("no route set was accepted yet; send one")]
    Empty,
}

impl RoutesError {
    /// The HTTP status that tells an operator of it.
    pub fn status(&self) -> StatusCode {
        match self {
            Self::Invalid { .. } => StatusCode::BAD_REQUEST,
            Self::NoMajority => StatusCode::SERVICE_UNAVAILABLE,
            Self::Unreadable { .. } => StatusCode::INTERNAL_SERVER_ERROR,
            Self::Empty => StatusCode::NOT_FOUND,
        }
    }
}

impl Service {
    /// Puts a route set in force and returns the version in force now.
    ///
    /// # Errors
    ///
    /// [`RoutesError`].
    pub async fn put_routes(
        &self,
        format: &dyn SetFormat,
        source: &[u8],
    ) -> Result<Version, RoutesError> {
        let set = format.read(source).map_err(|source| {
            Event::new("routes-refused").field("reason", &source).warn();
            RoutesError::Invalid { source }
        })?;
        let held = StoredRoutes::new(set.version, source);
        let packed = held.source.len();
        let reply = self.submit(&Action::Routes(held)).await;
        let outcome = match reply {
            Ok(Reply::Routes(version)) => Ok(version),
            _ => Err(RoutesError::NoMajority),
        };
        Event::new("routes-answered")
            .field("version", set.version)
            .field("bytes", source.len())
            .field("packed", packed)
            .field("in_force", outcome.as_ref().copied().unwrap_or_default())
            .field("acknowledged", outcome.is_ok())
            .info();
        outcome
    }

    /// The text of the route set in force, as a majority has it now.
    ///
    /// # Errors
    ///
    /// [`RoutesError`].
    pub async fn get_routes(&self) -> Result<Vec<u8>, RoutesError> {
        let confirmed = self.confirm().await;
        confirmed.map_err(|_| RoutesError::NoMajority)?;
        let sets = self.replica().routes.borrow().clone();
        let held = sets.newest().ok_or(RoutesError::Empty)?;
        held.text().map_err(|source| {
            Event::new("routes-unreadable")
                .field("version", held.version)
                .field("reason", &source)
                .error();
            RoutesError::Unreadable { source }
        })
    }
}

/// Answers one poll of an entry.
///
/// # Errors
///
/// [`ControlUnavailable::NoMajority`] where an entry without a set asks and this instance
/// can't confirm that the one it has is the newest.
pub async fn answer(
    service: &Service,
    presence: &Presence,
    follow: WatchRoutes,
) -> ControlReply<RoutesStatus> {
    let _polling = presence.poll(&follow.entry);
    if follow.known.is_none() {
        service.confirm().await?;
    }
    let replica = service.replica();
    let end = Instant::now() + follow.wait.min(MAX_WAIT);
    let mut routes = replica.routes.clone();
    let newer = |sets: &Sets| sets.version() > follow.known;
    // Whether one came or not, the answer says what there is.
    let _ = timeout_at(end, routes.wait_for(newer)).await;
    news(replica, presence, &follow)
}

fn news(
    replica: &Replica,
    presence: &Presence,
    follow: &WatchRoutes,
) -> ControlReply<RoutesStatus> {
    let newest = replica.routes.borrow().version();
    let standing = replica.standing.borrow();
    if follow.known.is_none() && newest.is_none() {
        return Err(ControlUnavailable::NoMajority);
    }
    Ok(RoutesStatus {
        newest,
        control: standing
            .members
            .iter()
            .map(|member| member.address)
            .collect(),
        entries: *presence.count().borrow(),
    })
}
