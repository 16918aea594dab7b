//! A response that is ready takes priority over any reason to abandon its endpoint.

use dogwoodhill_direct::race::{Winner, race_response};
use std::cell::Cell;
use std::future::{pending, ready};

/// Both futures are ready at the same instant, a hundred times: the response is never
/// discarded, and the side effects of abandoning do not happen.
#[tokio::test]
async fn race_response_both_ready() {
    for _ in 0..100 {
        let side_effect = Cell::new(false);
        let abandon = async { side_effect.set(true) };
        assert_eq!(race_response(ready(7), abandon).await, Winner::Response(7));
        assert!(!side_effect.get());
    }
}

#[tokio::test]
async fn race_response_abandons_without_response() {
    let winner = race_response(pending::<u8>(), ready("lost")).await;
    assert_eq!(winner, Winner::Abandon("lost"));
}
