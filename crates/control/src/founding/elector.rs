//! The votes of this instance, and its own campaign, over HTTP and on its disk.

use super::campaign::{Campaign, Outcome};
use super::{Electorate, FOUNDING_PATH, Record, Reply, Request, Step, Votes};
use crate::calls::Calls;
use crate::contacts::Contacts;
use crate::control::{ControlError, join_addresses};
use crate::internal;
use crate::settings::{Settings, Start};
use axum::Router;
use axum::extract::State;
use axum::response::{IntoResponse, Response};
use axum::routing::post;
use bytes::Bytes;
use dogwoodhill_consensus::members::Member;
use dogwoodhill_core::prelude::*;
use dogwoodhill_daemon::prelude::uptime;
use dogwoodhill_store::single::{read_file, replace_file};
use dogwoodhill_store::{DiskFiles, StoreError};
use dogwoodhill_wire::client::PeerClient;
use dogwoodhill_wire::codec::decode;
use error_stack::{Report, ResultExt};
use http::StatusCode;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::sync::Mutex;
use tokio::time::{sleep, timeout};

/// File with the [`Record`] of an instance that takes part in founding its cluster.
const RECORD_FILE: &str = "founding";
/// Interval at which the campaign advances.
const TICK: Duration = Duration::from_millis(30);
/// Timeout of a request to a seed.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(1);

/// The votes of this instance. Clones share them.
#[derive(Clone, Debug)]
pub(crate) struct Elector {
    state: Arc<Mutex<ElectorState>>,
    contacts: Contacts,
    own: SocketAddr,
}

#[derive(Debug)]
struct ElectorState {
    role: Role,
    /// Present on an instance that may found the cluster.
    campaign: Option<Campaign<SmallRng>>,
}

/// What this instance may decide.
#[derive(Debug)]
enum Role {
    /// Has a disk, and takes part since the first start of the deployment.
    Founding {
        files: DiskFiles,
        record: Record,
        member: Member,
    },
    /// Has no disk. Votes only during the first start.
    Diskless { votes: Option<Votes> },
    /// Has a disk, but was not there at the first start.
    Abstaining { files: DiskFiles },
    /// Has found its cluster, or its disk failed.
    Closed,
}

/// The data folder of an instance that has found its cluster.
#[derive(Debug)]
pub(crate) struct Closed {
    /// The folder.
    pub(crate) files: DiskFiles,
    /// Votes of the instance, if it took part in founding.
    pub(crate) record: Option<Record>,
}

impl Elector {
    /// The votes of an instance without a disk.
    pub(crate) fn diskless(settings: &Settings, contacts: Contacts) -> Self {
        let votes = settings.seeds.founding.then(Votes::default);
        Self::new(Role::Diskless { votes }, None, contacts, settings.internal)
    }

    /// Reads the votes of an instance that has a disk and no state, or begins to record
    /// them if the deployment starts for the first time.
    pub(crate) fn open(
        settings: &Settings,
        contacts: Contacts,
        mut files: DiskFiles,
    ) -> Result<Self, Report<ControlError>> {
        let own = settings.internal;
        let record = read_record(settings, &mut files);
        let record = record.change_context(ControlError::Store)?;
        let Some(record) = record else {
            return Ok(Self::new(Role::Abstaining { files }, None, contacts, own));
        };
        let member = Member {
            id: record.node,
            name: settings.name.clone(),
            address: own,
            voter: false,
            seat: true,
        };
        Event::new("founding-began")
            .field("node", format!("{:016x}", record.node))
            .field("seeds", join_addresses(&record.seeds))
            .field("resumed", record.votes != Votes::default())
            .info();
        let random = SmallRng::seed_from_u64(rand::rng().random());
        let seeds = record.seeds.clone();
        let campaign = Campaign::new(uptime(), member.clone(), seeds, random);
        let role = Role::Founding {
            files,
            record,
            member,
        };
        Ok(Self::new(role, Some(campaign), contacts, own))
    }

    fn new(
        role: Role,
        campaign: Option<Campaign<SmallRng>>,
        contacts: Contacts,
        own: SocketAddr,
    ) -> Self {
        let state = ElectorState { role, campaign };
        Self {
            state: Arc::new(Mutex::new(state)),
            contacts,
            own,
        }
    }

    /// Stops voting, and returns the data folder.
    ///
    /// # Errors
    ///
    /// [`ControlError::Store`] if the votes could not be written.
    pub(crate) async fn close(&self) -> Result<Closed, Report<ControlError>> {
        let mut state = self.state.lock().await;
        match std::mem::replace(&mut state.role, Role::Closed) {
            Role::Founding { files, record, .. } => Ok(Closed {
                files,
                record: Some(record),
            }),
            Role::Abstaining { files } => Ok(Closed {
                files,
                record: None,
            }),
            Role::Diskless { .. } | Role::Closed => Err(Report::new(ControlError::Store)),
        }
    }

    /// Proposes a charter until a cluster is founded or found. Endless on an instance that
    /// may not found one.
    pub(crate) async fn run(&self, client: &PeerClient) -> Outcome {
        let mut calls = Calls::new();
        loop {
            let requests = match &mut self.state.lock().await.campaign {
                Some(campaign) => campaign.tick(uptime()),
                None => return std::future::pending().await,
            };
            for (seed, request) in requests {
                calls.start(seed, self.clone().ask(client.clone(), seed, request));
            }
            let answered = async {
                match calls.next().await {
                    Some(answered) => answered,
                    None => std::future::pending().await,
                }
            };
            let (seed, (request, reply)) = tokio::select! {
                answered = answered => answered,
                () = sleep(TICK) => continue,
            };
            let mut state = self.state.lock().await;
            let Some((campaign, reply)) = state.campaign.as_mut().zip(reply) else {
                continue;
            };
            log_reply(seed, &request, &reply);
            let outcome = campaign.receive(uptime(), seed, &request, reply);
            if let Some(outcome) = outcome {
                return outcome;
            }
        }
    }

    /// Sends a request to a seed, which may be this instance. `None` without a reply.
    async fn ask(
        self,
        client: PeerClient,
        seed: SocketAddr,
        request: Request,
    ) -> (Request, Option<Reply>) {
        if seed == self.own {
            let reply = self.vote(request.clone()).await;
            return (request, reply);
        }
        let call = client.call::<_, Reply>(seed, FOUNDING_PATH, &request);
        // A seed that does not reply is asked again.
        let reply = timeout(REQUEST_TIMEOUT, call).await;
        (request, reply.ok().and_then(Result::ok))
    }

    /// Replies to a request; `None` if this instance has no reply, or can't record it.
    pub(crate) async fn vote(self, request: Request) -> Option<Reply> {
        if !self.contacts.members().is_empty() {
            let cluster = self.contacts.cluster();
            // Where members of several clusters are known, none is founded beside them.
            return Some(cluster.map_or(Reply::Abstains, Reply::Founded));
        }
        // Runs to its end even if the proposer disconnects, since the data folder is in
        // use meanwhile.
        let voted = tokio::spawn(async move {
            let mut state = self.state.lock().await;
            state.vote(&request).await
        });
        voted.await.ok().flatten()
    }
}

impl ElectorState {
    async fn vote(&mut self, request: &Request) -> Option<Reply> {
        let durable = request.electorate == Electorate::Durable;
        match &mut self.role {
            Role::Closed => None,
            Role::Abstaining { .. } => Some(Reply::Abstains),
            Role::Diskless { .. } if durable => Some(Reply::NoDisk),
            Role::Diskless { votes: Some(votes) } => {
                Some(votes.handle(None, &request.step))
            }
            Role::Diskless { votes: None } => Some(Reply::Abstains),
            Role::Founding { record, member, .. }
                if durable && record.seeds.binary_search(&member.address).is_ok() =>
            {
                self.vote_durably(&request.step).await
            }
            Role::Founding { .. } => Some(Reply::Abstains),
        }
    }

    /// Handles a step, and makes the votes durable before it returns the reply.
    async fn vote_durably(&mut self, step: &Step) -> Option<Reply> {
        let role = std::mem::replace(&mut self.role, Role::Closed);
        let Role::Founding {
            mut files,
            mut record,
            member,
        } = role
        else {
            return None;
        };
        let before = record.votes.clone();
        let reply = record.votes.handle(Some(&member), step);
        if record.votes != before {
            let written = tokio::task::spawn_blocking(move || {
                replace_file(&mut files, RECORD_FILE, &record)?;
                Ok::<_, StoreError>((files, record))
            });
            // After a failed write, the instance has no votes until it starts again.
            (files, record) = match written.await {
                Ok(Ok(written)) => written,
                Ok(Err(error)) => {
                    log_lost_vote(&error.to_string());
                    return None;
                }
                Err(error) => {
                    log_lost_vote(&error.to_string());
                    return None;
                }
            };
        }
        let promised = record.votes.promised();
        if promised != before.promised()
            && let (Some(campaign), Some(ballot)) = (&mut self.campaign, promised)
        {
            campaign.record_promise(uptime(), ballot);
        }
        self.role = Role::Founding {
            files,
            record,
            member,
        };
        Some(reply)
    }
}

/// Reads the record, or writes the first one; `None` on an instance that takes no part.
fn read_record(
    settings: &Settings,
    files: &mut DiskFiles,
) -> Result<Option<Record>, StoreError> {
    if settings.start != Start::Seeded {
        return Ok(None);
    }
    let record = read_file(files, RECORD_FILE)?;
    if record.is_some() || !settings.seeds.founding {
        return Ok(record);
    }
    let addresses = settings.seeds.addresses.clone();
    let record = Record::new(rand::rng().random(), addresses);
    replace_file(files, RECORD_FILE, &record)?;
    Ok(Some(record))
}

/// Route on which proposers ask this instance. Without the check of the cluster key, which
/// the caller adds.
pub(crate) fn routes(elector: Elector) -> Router {
    Router::new()
        .route(FOUNDING_PATH, post(vote))
        .with_state(elector)
}

async fn vote(State(elector): State<Elector>, bytes: Bytes) -> Response {
    let Ok(request) = decode::<Request>(&bytes) else {
        return StatusCode::BAD_REQUEST.into_response();
    };
    match elector.vote(request).await {
        Some(reply) => internal::encode_reply(&reply),
        None => StatusCode::SERVICE_UNAVAILABLE.into_response(),
    }
}

fn log_lost_vote(reason: &str) {
    Event::new("founding-vote-lost")
        .field("reason", reason)
        .error();
}

/// Logs a reply to this instance's proposal.
fn log_reply(seed: SocketAddr, request: &Request, reply: &Reply) {
    let (step, ballot) = match &request.step {
        Step::Query => ("query", None),
        Step::Prepare(ballot) => ("prepare", Some(ballot)),
        Step::Accept(ballot, _) => ("accept", Some(ballot)),
    };
    let reply = match reply {
        Reply::NoDisk => "no-disk",
        Reply::Abstains => "abstains",
        Reply::Founded(_) => "founded",
        Reply::Elector => "elector",
        Reply::Promised { .. } => "promised",
        Reply::Accepted => "accepted",
        Reply::Outbid(_) => "outbid",
    };
    let round = ballot.map_or(0, |ballot| ballot.round);
    Event::new("founding-reply")
        .field("seed", seed)
        .field("step", step)
        .field("round", round)
        .field("reply", reply)
        .info();
}
