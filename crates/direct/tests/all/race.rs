//! A response that is ready takes priority over any reason to abandon its endpoint.

use dogwoodhill_direct::race::{Winner, race_response};
use std::cell::Cell;
use std::future::{pending, ready};

/// Both futures are ready at the same instant, a hundred times: the response is never
/// discarded, and the side effects of abandoning do not happen.
#[tokio::test]
async fn answer_first_both_ready() {
    for _ in 0..100 {
        let paid = Cell::new(false);
        let leave = async { paid.set(true) };
        assert_eq!(race_response(ready(7), leave).await, Winner::Response(7));
        assert!(!paid.get());
    }
}

#[tokio::test]
async fn answer_first_leaves_without_answer() {
    let left = race_response(pending::<u8>(), ready("lost")).await;
    assert_eq!(left, Winner::Abandon("lost"));
}
