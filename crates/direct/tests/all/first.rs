//! An answer that is ready goes before every reason to leave.

use dogwoodhill_direct::first::{First, answer_first};
use std::cell::Cell;
use std::future::{pending, ready};

/// Both are there in the same instant, a hundred times: the answer is never thrown away,
/// and what leaving costs is never paid.
#[tokio::test]
async fn answer_first_both_ready() {
    for _ in 0..100 {
        let paid = Cell::new(false);
        let leave = async { paid.set(true) };
        assert_eq!(answer_first(ready(7), leave).await, First::Answer(7));
        assert!(!paid.get());
    }
}

#[tokio::test]
async fn answer_first_leaves_without_answer() {
    let left = answer_first(pending::<u8>(), ready("lost")).await;
    assert_eq!(left, First::Leave("lost"));
}
