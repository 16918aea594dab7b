//! Whether an endpoint ended under a request whose connection to it broke.
//!
//! Connections also break where one alone is reset, where an answer is lost on its way, or
//! where an endpoint closes one in the middle. An endpoint that has ended refuses new ones.

use crate::directory::Endpoint;
use crate::request::Shared;
use dogwoodhill_core::fingerprint::shown;
use dogwoodhill_core::prelude::*;
use dogwoodhill_policy::quarantine::LostRequest;
use std::sync::Arc;
use std::time::Instant;

/// A request whose connection broke.
#[derive(Debug)]
pub(crate) struct Broken {
    pub(crate) shared: Arc<Shared>,
    pub(crate) id: RequestId,
    pub(crate) lost: LostRequest,
}

impl Broken {
    /// Looks whether `endpoint` has ended, and if so remembers that it did under this
    /// request. `broke`: when the connection did.
    pub(crate) async fn look(self, endpoint: Arc<Endpoint>, broke: Instant) {
        if !endpoint.has_ended(broke).await {
            return;
        }
        let Self { shared, id, lost } = self;
        let content = shown(lost.request);
        let crashes = shared.suspects.lost(&endpoint, lost);
        shared
            .stats
            .crashes
            .with_label_values(&[&*endpoint.service])
            .inc();
        shared.lists.met.notify_one();
        Event::new("endpoint-ended")
            .field("request", id)
            .field("content", content)
            .field("endpoint", endpoint.run())
            .field("service", &endpoint.service)
            .field("crashes", crashes)
            .warn();
    }
}
