//! An instance without a disk: it keeps nothing, and sends operators on.
//!
//! A deployment may run the control program on more instances than have a
//! disk. Such an instance must not take part: what it agreed to would be gone
//! with its process. It answers every call with a redirection to one of the
//! seeds, a different one each time, so that an operator who met one that is
//! down meets another at the next try.

use crate::settings::Settings;
use axum::Router;
use axum::extract::{Request, State};
use axum::response::{IntoResponse, Response};
use dogwoodhill_core::prelude::*;
use dogwoodhill_daemon::health;
use dogwoodhill_daemon::prelude::*;
use http::{HeaderValue, StatusCode, header};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use tokio::sync::watch;

/// Where calls are sent on to.
#[derive(Clone, Debug)]
struct Onward {
    instances: watch::Receiver<Vec<SocketAddr>>,
    next: Arc<AtomicUsize>,
}

impl Onward {
    fn pick(&self) -> Option<SocketAddr> {
        let instances = self.instances.borrow();
        let at = self.next.fetch_add(1, Ordering::Relaxed);
        instances.get(at % instances.len().max(1)).copied()
    }
}

/// Serves until the drain is complete.
///
/// # Errors
///
/// Text that says why the instance can't run.
pub async fn run(
    settings: Settings,
    drain: Drain,
    mut changed: Changed<Settings>,
) -> Result<(), String> {
    let listener = Listener::bind(settings.listen).await;
    let listener = listener.map_err(|error| format!("{error:#}"))?;
    Event::new("control-forwards")
        .field("name", &settings.name)
        .field("operators", listener.address())
        .field("reason", "no-disk")
        .info();
    let (sender, instances) = watch::channel(settings.seeds.operators);
    let refresh = tokio::spawn(async move {
        while changed.changed().await.is_ok() {
            let settings = changed.borrow_and_update().clone();
            if let Some(settings) = settings {
                sender.send_replace(settings.seeds.operators);
            }
        }
    });
    let onward = Onward {
        instances,
        next: Arc::new(AtomicUsize::new(usize::from(settings.listen.port()))),
    };
    let metrics = Metrics::default();
    let health = health::routes(&drain, &metrics, Arc::new(|| true));
    let routes = Router::new().fallback(redirect).with_state(onward);
    listener
        .serve(routes.merge(health), drain, settings.linger)
        .await;
    refresh.abort();
    Event::new("control-stopped").info();
    Ok(())
}

async fn redirect(State(onward): State<Onward>, request: Request) -> Response {
    let path = request
        .uri()
        .path_and_query()
        .map_or("/", |path| path.as_str());
    let location = onward
        .pick()
        .map(|address| format!("http://{address}{path}"));
    let value = location.and_then(|text| HeaderValue::from_str(&text).ok());
    match value {
        Some(value) => {
            let headers = [(header::LOCATION, value)];
            (StatusCode::TEMPORARY_REDIRECT, headers).into_response()
        }
        None => {
            let text = "no seeds are known; list them in the settings\n";
            (StatusCode::SERVICE_UNAVAILABLE, text).into_response()
        }
    }
}
