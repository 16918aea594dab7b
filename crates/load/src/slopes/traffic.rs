//! Processor time of entry and agent for a request and for a token.

use super::Table;
use crate::latency::cost;
use dogwoodhill_core::prelude::*;

/// Tokens of each answer.
const TOKENS: [u32; 4] = [1, 8, 32, 128];
/// Concurrent streams: enough to share writes, too few to fill the machine.
const STREAMS: u32 = 64;
/// Length of each measurement.
const LASTING: Duration = Duration::from_secs(4);

/// Measures what entry and agent take together; the slope is the cost of a
/// token, the base that of a request.
pub async fn measure() -> Table {
    let mut table = Table::new(
        "Traffic (entry and agent together, 64 streams)",
        &["tokens a request", "cpu us/request"],
    );
    for tokens in TOKENS {
        let cost = cost(STREAMS, tokens, LASTING).await;
        table.add(&[f64::from(tokens), cost.as_micros() as f64]);
    }
    table
}
