//! The route set: accepting it from operators and serving it to entries.
//!
//! A set is validated before it enters the log. The log stores the text as it was sent,
//! so a read returns exactly what was written. The state machine keeps the set with the
//! highest version.

use crate::command::{Action, Reply};
use crate::presence::Presence;
use crate::replica::Replica;
use crate::route_sets::RouteSets;
use crate::service::Service;
use derive_more::{Display, Error};
use dogwoodhill_core::prelude::*;
use dogwoodhill_route::check::InvalidRouteSet;
use dogwoodhill_route::set::SetFormat;
use dogwoodhill_wire::compress::DecompressError;
use dogwoodhill_wire::control::{ControlReply, ControlUnavailable};
use dogwoodhill_wire::routes::{RoutesStatus, StoredRoutes, WatchRoutes};
use http::StatusCode;
use tokio::time::{Instant, timeout_at};

/// Upper bound on the wait that a caller can request.
const MAX_WAIT: Duration = Duration::from_secs(60);

/// Why a route set could not be accepted or read.
#[derive(Debug, Display, Error)]
pub enum RoutesError {
    /// The set is invalid; nothing has changed.
    #[display("{source}")]
    Invalid {
        /// First fault of the set.
        source: InvalidRouteSet,
    },
    /// No majority answered; the set may or may not have taken effect.
    #[display("no majority confirmed in time; send the same set again")]
    NoMajority,
    /// The current set can't be decompressed.
    #[display("{source}")]
    Unreadable {
        /// Cause reported by the decoder.
        source: DecompressError,
    },
    /// No set has been accepted yet.
    #[display("no route set was accepted yet; send one")]
    Empty,
}

impl RoutesError {
    /// Status code of the HTTP response.
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
    /// Submits a route set and returns the current version, which may be higher than the
    /// one submitted.
    ///
    /// # Errors
    ///
    /// [`RoutesError::Invalid`] if the set fails validation, [`RoutesError::NoMajority`]
    /// if no majority confirms it in time.
    pub async fn put_routes(
        &self,
        format: &dyn SetFormat,
        source: &[u8],
    ) -> Result<Version, RoutesError> {
        let set = format.validate(source).map_err(|source| {
            Event::new("routes-refused").field("reason", &source).warn();
            RoutesError::Invalid { source }
        })?;
        let stored = StoredRoutes::new(set.version, source);
        let packed = stored.source.len();
        let reply = self.submit(&Action::Routes(stored)).await;
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

    /// The text of the current route set, confirmed by a majority.
    ///
    /// # Errors
    ///
    /// [`RoutesError::NoMajority`], [`RoutesError::Empty`] or
    /// [`RoutesError::Unreadable`].
    pub async fn get_routes(&self) -> Result<Vec<u8>, RoutesError> {
        let confirmed = self.confirm().await;
        confirmed.map_err(|_| RoutesError::NoMajority)?;
        let sets = self.replica().routes.borrow().clone();
        let stored = sets.newest().ok_or(RoutesError::Empty)?;
        stored.text().map_err(|source| {
            Event::new("routes-unreadable")
                .field("version", stored.version)
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
/// [`ControlUnavailable::NoMajority`] if the entry has no set and this instance can't
/// confirm that its own is current.
pub async fn answer(
    service: &Service,
    presence: &Presence,
    watch: WatchRoutes,
) -> ControlReply<RoutesStatus> {
    let _polling = presence.poll(&watch.entry);
    if watch.known.is_none() {
        service.confirm().await?;
    }
    let replica = service.replica();
    let end = Instant::now() + watch.wait.min(MAX_WAIT);
    let mut routes = replica.routes.clone();
    let newer = |sets: &RouteSets| sets.version() > watch.known;
    // On a timeout, the response repeats the version that the entry already has.
    let _ = timeout_at(end, routes.wait_for(newer)).await;
    routes_status(replica, presence, &watch)
}

fn routes_status(
    replica: &Replica,
    presence: &Presence,
    watch: &WatchRoutes,
) -> ControlReply<RoutesStatus> {
    let newest = replica.routes.borrow().version();
    let status = replica.status.borrow();
    if watch.known.is_none() && newest.is_none() {
        return Err(ControlUnavailable::NoMajority);
    }
    // Without contact the list may be outdated; the entry keeps the one that it has.
    let members = status.members.iter().filter(|_| status.contact);
    Ok(RoutesStatus {
        newest,
        control: members.map(|member| member.address).collect(),
        entries: *presence.count().borrow(),
    })
}
