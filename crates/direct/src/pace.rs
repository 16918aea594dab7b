//! Asking endpoints for their pace.
//!
//! A probe is a request for the health path of the service, whose answer names load and
//! pace. Probes are sent over idle connections; only the endpoint that a request is most
//! likely to be sent to is worth a new one, since the request then finds it open. A probe
//! never changes the health record of an endpoint, whatever its outcome: under load, an
//! endpoint may be slow to answer it.

use crate::dialect::{EndpointDialect, Load};
use crate::directory::Endpoint;
use crate::pool::{self, Connection};
use bytes::Bytes;
use dogwoodhill_core::prelude::*;
use dogwoodhill_daemon::prelude::*;
use http::{Request, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use prometheus::{Histogram, IntCounterVec};
use std::sync::Arc;
use tokio::task::JoinSet;
use tokio::time::{Instant, timeout, timeout_at};

/// Time after which a probe is given up and its connection closed. Answers that arrive
/// after the placement are recorded for the next one.
const GIVE_UP: Duration = Duration::from_secs(1);
/// Largest body of an answer, in bytes.
const MAX_BODY: usize = 64 * 1024;

/// Sends probes and counts them.
#[derive(Clone, Debug)]
pub struct Prober {
    /// By outcome.
    probes: IntCounterVec,
    /// Age of the chosen endpoint's pace at each placement.
    age: Histogram,
}

impl Prober {
    /// Registers the metrics.
    pub fn new(metrics: &Metrics) -> Self {
        Self {
            probes: metrics.counters(
                "dogwoodhill_direct_pace_probes_total",
                "Endpoints asked for their pace, by outcome",
                &["outcome"],
            ),
            age: metrics.histogram(
                "dogwoodhill_direct_pace_age_seconds",
                "Age of the chosen endpoint's pace at each placement",
            ),
        }
    }

    /// Records the age of the pace by which an endpoint was chosen.
    pub fn record_age(&self, endpoint: &Endpoint) {
        if let Some(age) = endpoint.pace_age() {
            self.age.observe(age.as_secs_f64());
        }
    }

    /// Asks `endpoints`, the likeliest target first, and returns when all have answered,
    /// at the latest after `wait`.
    pub async fn ask(
        &self,
        endpoints: Vec<Arc<Endpoint>>,
        dialect: &Arc<dyn EndpointDialect>,
        path: &str,
        wait: Duration,
    ) {
        let mut probes = JoinSet::new();
        for (at, endpoint) in endpoints.into_iter().enumerate() {
            let connection = endpoint.pool.take();
            if connection.is_none() && at > 0 {
                self.count("no-connection");
                continue;
            }
            let probe = Probe {
                endpoint,
                dialect: Arc::clone(dialect),
                path: path.to_string(),
            };
            let prober = self.clone();
            probes.spawn(async move {
                let asked = timeout(GIVE_UP, probe.run(connection)).await;
                prober.count(asked.unwrap_or("timeout"));
            });
        }
        let end = Instant::now() + wait;
        while let Ok(Some(_)) = timeout_at(end, probes.join_next()).await {}
        probes.detach_all();
    }

    fn count(&self, outcome: &str) {
        self.probes.with_label_values(&[outcome]).inc();
    }
}

/// One probe of one endpoint.
struct Probe {
    endpoint: Arc<Endpoint>,
    dialect: Arc<dyn EndpointDialect>,
    path: String,
}

impl Probe {
    /// Sends the probe, records the answer, and returns the outcome.
    async fn run(self, idle: Option<Connection>) -> &'static str {
        let connection = match idle {
            Some(connection) => connection,
            None => match pool::connect(self.endpoint.address).await {
                Ok(connection) => connection,
                Err(_) => return "unreachable",
            },
        };
        match self.exchange(connection).await {
            Some(load) => {
                self.endpoint.set_load(load);
                "answered"
            }
            None => "failed",
        }
    }

    async fn exchange(&self, mut connection: Connection) -> Option<Load> {
        let request = self.request()?;
        connection.request_started();
        let response = connection.sender.try_send_request(request).await.ok()?;
        let (parts, body) = response.into_parts();
        let meta = self.dialect.read(parts.status, &parts.headers);
        Limited::new(body, MAX_BODY).collect().await.ok()?;
        if meta.reusable && !self.endpoint.leaving() {
            self.endpoint.pool.release(connection, meta.idle_timeout);
        }
        meta.load.filter(|_| parts.status == StatusCode::OK)
    }

    fn request(&self) -> Option<Request<Full<Bytes>>> {
        Request::get(&self.path)
            .header(header::HOST, self.endpoint.address.to_string())
            .body(Full::default())
            .ok()
    }
}
