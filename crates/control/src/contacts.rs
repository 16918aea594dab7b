//! The control instances that this one knows: asks them, and answers when it is asked.
//!
//! An instance without a disk does this for as long as it runs, an instance with an empty
//! disk until it has found its cluster, and a member while it has no contact with a
//! majority, since all addresses in its log may be outdated. [`Discovery`] decides whom
//! to ask.

use crate::calls::Calls;
use crate::control::join_addresses;
use crate::discovery::{
    ANNOUNCE_PATH, Announcement, Directions, Discovery, INQUIRE_PATH, Inquiry, ROUND,
};
use crate::internal;
use crate::replica::ReplicaStatus;
use axum::Router;
use axum::extract::State;
use axum::response::Response;
use axum::routing::post;
use bytes::Bytes;
use dogwoodhill_core::prelude::*;
use dogwoodhill_daemon::prelude::uptime;
use dogwoodhill_wire::client::{CallError, PeerClient};
use dogwoodhill_wire::control::{ControlReply, ControlUnavailable};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::watch;
use tokio::time::{Instant, sleep, timeout};

/// Timeout of an inquiry.
const INQUIRY_TIMEOUT: Duration = Duration::from_secs(1);
/// Timeout for a forwarded message.
const FORWARD_TIMEOUT: Duration = Duration::from_millis(900);
/// Time without a known member before the first log line; a few rounds.
const SEARCH_LOG_DELAY: Duration = Duration::from_secs(1);
/// Interval of log lines while no member is known.
const SEARCH_LOG_INTERVAL: Duration = Duration::from_secs(5);

/// An instance that stores the log, as it answers others.
#[derive(Clone, Debug)]
struct OwnMember {
    announcement: Announcement,
    /// Names the other members.
    status: watch::Receiver<ReplicaStatus>,
}

/// Known control instances. Clones share them.
#[derive(Clone, Debug)]
pub(crate) struct Contacts {
    discovery: Arc<Mutex<Discovery>>,
    own: SocketAddr,
    own_member: Option<OwnMember>,
    next: Arc<AtomicUsize>,
    updated: watch::Sender<()>,
    client: PeerClient,
}

impl Contacts {
    /// The contacts of the instance at `own`, which knows no other and stores no log.
    pub(crate) fn new(own: SocketAddr, client: PeerClient) -> Self {
        Self {
            discovery: Arc::new(Mutex::new(Discovery::new(own))),
            own,
            own_member: None,
            next: Arc::new(AtomicUsize::new(usize::from(own.port()))),
            updated: watch::Sender::new(()),
            client,
        }
    }

    /// The same contacts for an instance that stores the log.
    pub(crate) fn with_member(
        self,
        announcement: Announcement,
        status: watch::Receiver<ReplicaStatus>,
    ) -> Self {
        Self {
            own_member: Some(OwnMember {
                announcement,
                status,
            }),
            ..self
        }
    }

    fn lock(&self) -> MutexGuard<'_, Discovery> {
        // Every update leaves the list consistent, even if a holder of the lock panics.
        self.discovery
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Known members.
    pub(crate) fn members(&self) -> Vec<Announcement> {
        self.lock().members(uptime())
    }

    /// The cluster of all known members; `None` if there are none or they differ.
    pub(crate) fn cluster(&self) -> Option<u128> {
        self.lock().cluster(uptime())
    }

    /// Like [`Contacts::cluster`], once no known address can change the answer.
    pub(crate) fn settled_cluster(&self) -> Option<u128> {
        self.lock().settled_cluster(uptime())
    }

    /// Waits up to `max_wait` until at least one member is known.
    pub(crate) async fn wait_for_any(&self, max_wait: Duration) {
        let mut updated = self.updated.subscribe();
        if self.members().is_empty() {
            // After a timeout the caller finds the list still empty.
            let _ = timeout(max_wait, updated.changed()).await;
        }
    }

    /// Picks a member in round-robin order.
    pub(crate) fn next_member(&self) -> Option<Announcement> {
        let all = self.members();
        let at = self.next.fetch_add(1, Ordering::Relaxed);
        all.get(at % all.len().max(1)).copied()
    }

    /// Forwards an idempotent message to all known members, and returns the first
    /// success.
    ///
    /// # Errors
    ///
    /// [`ControlUnavailable::NoMajority`] if no member succeeds in time, or if the members
    /// are of different clusters.
    pub(crate) async fn forward<M, A>(&self, path: &str, message: &M) -> ControlReply<A>
    where
        M: Serialize + Clone + Send + Sync + 'static,
        A: DeserializeOwned + Send + 'static,
    {
        let path: Arc<str> = path.into();
        let mut calls = Calls::new();
        if self.cluster().is_some() {
            for member in self.members() {
                let client = self.client.clone();
                let (path, message) = (Arc::clone(&path), message.clone());
                calls.start(member.internal, async move {
                    let call = client.call::<M, ControlReply<A>>(
                        member.internal,
                        &path,
                        &message,
                    );
                    timeout(FORWARD_TIMEOUT, call).await.ok()?.ok()?.ok()
                });
            }
        }
        let answered = calls.first(|_, answer: &Option<A>| answer.is_some()).await;
        let answer = answered.and_then(|(_, answer)| answer);
        answer.ok_or(ControlUnavailable::NoMajority)
    }

    /// Asks other instances for members in an endless loop, while `needed` returns
    /// `true`. Changed seeds are used within a round.
    pub(crate) async fn run(
        self,
        seeds: watch::Receiver<Vec<SocketAddr>>,
        needed: impl Fn() -> bool,
    ) {
        let start = Instant::now();
        let mut next_line = SEARCH_LOG_DELAY;
        let mut calls = Calls::new();
        loop {
            self.lock().set_seeds(uptime(), &seeds.borrow());
            if needed() {
                for address in self.lock().due(uptime()) {
                    calls.start(address, self.clone().ask(address));
                }
                if self.cluster().is_none() && start.elapsed() >= next_line {
                    next_line = start.elapsed() + SEARCH_LOG_INTERVAL;
                    self.log_search(start.elapsed());
                }
            }
            let answers = async { while calls.next().await.is_some() {} };
            tokio::join!(sleep(ROUND), async {
                // A call that takes longer continues in the next round.
                let _ = timeout(ROUND, answers).await;
            });
        }
    }

    fn log_search(&self, elapsed: Duration) {
        let asked = self.lock().addresses(uptime());
        let clusters = if self.members().is_empty() {
            "none"
        } else {
            "different"
        };
        Event::new("cluster-sought")
            .field("addresses", join_addresses(&asked))
            .field("clusters", clusters)
            .field("ms", elapsed.as_millis())
            .warn();
    }

    async fn ask(self, address: SocketAddr) {
        let inquiry = Inquiry { internal: self.own };
        let call = self.client.call(address, INQUIRE_PATH, &inquiry);
        let answer: Result<Result<Directions, CallError>, _> =
            timeout(INQUIRY_TIMEOUT, call).await;
        // Silence has no effect: the address is asked again, and expires.
        if let Ok(Ok(answer)) = answer {
            let is_new = self.lock().record_answer(uptime(), address, &answer);
            if let Some(announcement) = answer.member.filter(|_| is_new) {
                self.publish(announcement, "asked");
            }
        }
    }

    fn record_announcement(&self, announcement: Announcement) {
        if self.lock().record_member(uptime(), announcement) {
            self.publish(announcement, "itself");
        }
    }

    fn publish(&self, announcement: Announcement, by: &str) {
        self.updated.send_replace(());
        Event::new("control-announced")
            .field("internal", announcement.internal)
            .field("operators", announcement.operators)
            .field("by", by)
            .info();
    }

    fn answer(&self, inquiry: Inquiry) -> Directions {
        let now = uptime();
        let mut discovery = self.lock();
        discovery.record_inquiry(now, inquiry.internal);
        let mut addresses = discovery.addresses(now);
        drop(discovery);
        if let Some(own) = &self.own_member {
            let status = own.status.borrow();
            let members = status.members.iter().filter(|m| m.id != status.node);
            addresses.splice(0..0, members.map(|member| member.address));
        }
        Directions {
            member: self.own_member.as_ref().map(|own| own.announcement),
            addresses,
        }
    }
}

/// Routes on which other instances announce themselves and ask. Without the check of the
/// cluster key, which the caller adds.
pub(crate) fn routes(contacts: Contacts) -> Router {
    Router::new()
        .route(ANNOUNCE_PATH, post(announce))
        .route(INQUIRE_PATH, post(inquire))
        .with_state(contacts)
}

async fn announce(State(contacts): State<Contacts>, bytes: Bytes) -> Response {
    internal::handle(bytes, |announcement: Announcement| async move {
        contacts.record_announcement(announcement);
    })
    .await
}

async fn inquire(State(contacts): State<Contacts>, bytes: Bytes) -> Response {
    internal::handle(
        bytes,
        |inquiry: Inquiry| async move { contacts.answer(inquiry) },
    )
    .await
}
