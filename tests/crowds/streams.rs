//! Crowds that multiplex requests on the agents' path.

use super::{Site, check_crowd};
use crate::frames::{FEW_STREAMS, MANY_CLIENTS, Multiplexed};
use crate::support::MANY_DESCRIPTORS;
use std::net::SocketAddr;

const LOOKUP: &str = "/services/lookup/titles";
const SERVICE: &str = "/v1/services/lookup";

async fn check_streams(
    address: fn(&Site) -> SocketAddr,
    count: usize,
    requests: Multiplexed,
) {
    check_crowd(address, MANY_DESCRIPTORS, count, requests.script()).await;
}

fn of_caller(requests: Multiplexed) -> Multiplexed {
    Multiplexed {
        key: "caller",
        ..requests
    }
}

fn of_operator(requests: Multiplexed) -> Multiplexed {
    Multiplexed {
        key: "operator",
        ..requests
    }
}

#[tokio::test]
async fn callers_streams_without_bodies() {
    let requests = of_caller(Multiplexed::new("POST", LOOKUP));
    check_streams(|site| site.callers, 8, requests).await;
}

#[tokio::test]
async fn callers_few_streams_without_bodies() {
    let requests = Multiplexed {
        streams: FEW_STREAMS,
        fields: 200,
        ..of_caller(Multiplexed::new("POST", LOOKUP))
    };
    check_streams(|site| site.callers, MANY_CLIENTS, requests).await;
}

#[tokio::test]
async fn callers_streams_unread() {
    let requests = of_caller(Multiplexed::ended("POST", LOOKUP));
    check_streams(|site| site.callers, 60, requests).await;
}

#[tokio::test]
async fn callers_few_streams_unread() {
    let requests = Multiplexed {
        streams: FEW_STREAMS,
        ..of_caller(Multiplexed::ended("POST", LOOKUP))
    };
    check_streams(|site| site.callers, MANY_CLIENTS, requests).await;
}

#[tokio::test]
async fn agent_streams_of_strangers_without_bodies() {
    let requests = Multiplexed::new("POST", "/v1/attempt");
    check_streams(|site| site.agents, 8, requests).await;
}

async fn check_strangers(fields: usize) {
    let requests = Multiplexed {
        fields,
        ..Multiplexed::new("POST", "/v1/attempt")
    };
    check_streams(|site| site.agents, 8, requests).await;
}

#[tokio::test]
async fn agent_streams_of_strangers_with_fields() {
    check_strangers(100).await;
}

#[tokio::test]
async fn agent_streams_of_strangers_with_few_fields() {
    check_strangers(45).await;
}

#[tokio::test]
async fn callers_streams_with_fields() {
    let requests = Multiplexed {
        fields: 200,
        ..of_caller(Multiplexed::new("POST", LOOKUP))
    };
    check_streams(|site| site.callers, 8, requests).await;
}

#[tokio::test]
async fn agent_streams_of_strangers_unread() {
    let requests = Multiplexed::ended("POST", "/v1/attempt");
    check_streams(|site| site.agents, 60, requests).await;
}

#[tokio::test]
async fn operators_streams_without_bodies() {
    let requests = of_operator(Multiplexed::new("PUT", SERVICE));
    check_streams(|site| site.operators, 8, requests).await;
}

#[tokio::test]
async fn operators_few_streams_without_bodies() {
    let requests = Multiplexed {
        streams: FEW_STREAMS,
        fields: 200,
        ..of_operator(Multiplexed::new("PUT", SERVICE))
    };
    check_streams(|site| site.operators, MANY_CLIENTS, requests).await;
}

#[tokio::test]
async fn operators_streams_unread() {
    let requests = of_operator(Multiplexed::ended("GET", SERVICE));
    check_streams(|site| site.operators, 60, requests).await;
}

#[tokio::test]
async fn internal_streams_without_bodies() {
    let requests = Multiplexed::new("POST", "/v1/demand");
    check_streams(|site| site.internal, 8, requests).await;
}
