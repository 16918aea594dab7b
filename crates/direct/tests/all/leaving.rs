//! An endpoint that announces in its response headers that it is shutting down, before
//! the list shows it or without a list.
//!
//! The list lags by seconds or may be unavailable, but each response that an entry
//! forwards carries the announcement.

use crate::endpoint::{Act, ScriptedEndpoint};
use crate::entry::Entry;

/// Header that announces the shutdown.
const LEAVING_HEADER: &str = "x-leaving: 1\r\n";

/// Guards against new requests to an endpoint that has announced its shutdown to this
/// entry.
#[tokio::test]
async fn leaving_in_response_stops_requests() {
    let (leaving, staying) = (
        ScriptedEndpoint::start(Vec::new()).await,
        ScriptedEndpoint::start(Vec::new()).await,
    );
    leaving.set_headers(LEAVING_HEADER);
    let entry = Entry::with_endpoints(&[&leaving, &staying]).await;
    for _ in 0..100 {
        let got = entry.call("GET /safe/", "", "").await;
        assert_eq!(got.status, 200, "{got:?}");
    }
    let seen = leaving.seen().len();
    assert!(seen <= 1, "{seen} requests after the announcement");
}

/// A refusal may carry the announcement as well; the request moves to another endpoint.
#[tokio::test]
async fn leaving_in_refusal_stops_requests() {
    let (leaving, staying) = (
        ScriptedEndpoint::start(vec![Act::Refuse; 100]).await,
        ScriptedEndpoint::start(Vec::new()).await,
    );
    leaving.set_headers(LEAVING_HEADER);
    let entry = Entry::with_endpoints(&[&leaving, &staying]).await;
    for _ in 0..60 {
        entry.call("GET /safe/", "", "").await;
    }
    let seen = leaving.seen().len();
    assert!(seen <= 1, "{seen} requests after the announcement");
}

/// Another endpoint responds at the address and announces its own shutdown, which must
/// not be attributed to the listed endpoint.
#[tokio::test]
async fn leaving_of_other_endpoint_ignored() {
    let endpoint = ScriptedEndpoint::start(vec![Act::Mismatched]).await;
    endpoint.set_headers(LEAVING_HEADER);
    let entry = Entry::with_endpoints(&[&endpoint]).await;
    entry.call("GET /safe/", "", "").await;
    let all = entry.shared.directory.all();
    assert!(all.iter().all(|endpoint| !endpoint.leaving()));
}
