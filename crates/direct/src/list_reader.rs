//! Reading the endpoint list from its source.
//!
//! Two entries, the readers, read it on behalf of all. Any other entry reads it only when
//! it receives no fresh read ([`dogwoodhill_policy::list_reads`]). If the list cannot be
//! read, the previous one stays in use.

use crate::dialect::{EndpointList, FetchFuture, Flaw, ListContent, ListError};
use crate::request::SharedState;
use dogwoodhill_core::prelude::*;
use dogwoodhill_daemon::prelude::uptime;
use dogwoodhill_policy::list_reads::{ShrinkGuard, retry_delay};
use rand::RngExt;
use std::sync::Arc;
use std::time::Instant;
use tokio::time::{sleep, timeout};

/// Timeout of one page. A connection whose first packet was lost is established after a
/// second. The bound is per page: with one for the whole list, a list that has grown
/// would become unreadable, since 60 pages take two seconds at a small instance that has
/// just started.
const PAGE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time without a response after which the first page is requested once more,
/// concurrently with the first call. A connection that went silent, or a call lost by a
/// stopped source, would otherwise cost [`PAGE_TIMEOUT`], a third of the time within
/// which a change must reach all entries. The delay is several times the usual response
/// time and applies to the first page only, so that a source that is slow under load does
/// not receive all calls twice.
const HEDGE_DELAY: Duration = Duration::from_millis(500);
/// Upper bound on pages: eight times the designed list size, in pages of fifty.
const MAX_PAGES: usize = 200;

/// Reads the list in an endless loop whenever a read by this entry is due; `interval` is
/// that of the readers.
pub async fn run(
    shared: Arc<SharedState>,
    list: Box<dyn EndpointList>,
    interval: Duration,
) {
    let mut failures: u32 = 0;
    let mut is_reader = false;
    let mut shrink_guard = ShrinkGuard::default();
    let mut flaws = LoggedFlaws::default();
    let started = Instant::now();
    loop {
        let due = shared
            .list_tracker
            .next_read_in(interval, rand::rng().random());
        if due > Duration::ZERO {
            // This entry has received a read by another entry and stops its retries.
            if std::mem::take(&mut failures) > 0 {
                Event::new("list-regained").field("by", "others").info();
            }
            tokio::select! {
                () = sleep(due) => {}
                () = shared.list_tracker.appointed.notified() => {}
            }
            if !shared.list_tracker.next_read_in(interval, 0.0).is_zero() {
                continue;
            }
        }
        if is_reader != shared.list_tracker.is_reader() {
            is_reader = !is_reader;
            Event::new("list-reader").field("reader", is_reader).info();
        }
        let requested_at = uptime();
        let records = fetch(list.as_ref()).await.and_then(|content| {
            flaws.record(&shared, &content);
            let before = shared.directory.all().len();
            let after = content.endpoints.len();
            let plausible = shrink_guard.accepts(started.elapsed(), before, after);
            let implausible = ListError::Shrunk { before, after };
            if plausible {
                Ok(content.endpoints)
            } else {
                Err(implausible)
            }
        });
        let delay = match records {
            Ok(records) => {
                if failures > 0 {
                    Event::new("list-regained")
                        .field("by", "itself")
                        .field("failures", failures)
                        .info();
                }
                failures = 0;
                shared.stats.list_reads.with_label_values(&["used"]).inc();
                let took = uptime().saturating_sub(requested_at);
                shared.list_tracker.apply_own_read(
                    &shared.directory,
                    requested_at,
                    took,
                    records,
                );
                update_gauges(&shared);
                continue;
            }
            Err(error) => {
                if failures == 0 {
                    Event::new("list-lost").field("reason", &error).warn();
                }
                failures += 1;
                shared.stats.list_reads.with_label_values(&["failed"]).inc();
                let busy = matches!(error, ListError::Busy);
                let jitter = rand::rng().random();
                retry_delay(failures, busy, is_reader, interval, jitter)
            }
        };
        sleep(delay).await;
    }
}

/// Numbers of list entries skipped in the last read, by cause.
#[derive(Debug, Default)]
struct LoggedFlaws(Vec<(Flaw, usize)>);

impl LoggedFlaws {
    /// Counts skipped list entries. A cause is logged only when its count changes, so
    /// that a list entry that stays unreadable for days causes one line.
    fn record(&mut self, shared: &SharedState, content: &ListContent) {
        for (flaw, count) in &content.flaws {
            let label = flaw.to_string();
            let counter = shared.stats.list_flaws.with_label_values(&[&*label]);
            counter.inc_by(*count as u64);
            if !self.0.contains(&(*flaw, *count)) {
                Event::new("list-entries-left-out")
                    .field("cause", label)
                    .field("entries", count)
                    .field("read", content.endpoints.len())
                    .warn();
            }
        }
        self.0.clone_from(&content.flaws);
    }
}

/// Reads the whole list, page by page.
///
/// # Errors
///
/// [`ListError`] if any page is missing or cannot be parsed: with a partial list, the
/// remaining endpoints would look as if they were gone.
pub async fn fetch(list: &dyn EndpointList) -> Result<ListContent, ListError> {
    let mut read = ListContent::default();
    for _ in 0..MAX_PAGES {
        let token = read.next.take();
        let pending: FetchFuture<'_> = match &token {
            None => Box::pin(first_page(list)),
            Some(token) => list.fetch(Some(token.clone())),
        };
        let page = timeout(PAGE_TIMEOUT, pending).await;
        let page = page.unwrap_or_else(|_| {
            let problem = "no response in time".to_string();
            Err(ListError::Unreachable { problem })
        })?;
        read.append(page);
        if read.next.is_none() {
            return Ok(read);
        }
        if read.next == token {
            let problem = "a page refers to itself as the next page".to_string();
            return Err(ListError::Content { problem });
        }
    }
    let problem = format!("list has more than {MAX_PAGES} pages");
    Err(ListError::Content { problem })
}

/// Fetches the first page, from whichever of two calls responds first.
async fn first_page(list: &dyn EndpointList) -> Result<ListContent, ListError> {
    let mut first = list.fetch(None);
    if let Ok(page) = timeout(HEDGE_DELAY, &mut first).await {
        return page;
    }
    let mut second = list.fetch(None);
    tokio::select! {
        page = &mut first => match page {
            Ok(page) => Ok(page),
            Err(_) => second.await,
        },
        page = &mut second => match page {
            Ok(page) => Ok(page),
            Err(_) => first.await,
        },
    }
}

fn update_gauges(shared: &SharedState) {
    let all = shared.directory.all();
    let leaving = all.iter().filter(|endpoint| endpoint.leaving()).count();
    let limited = all.iter().filter(|endpoint| endpoint.is_limited()).count();
    let gauges = &shared.stats.gauges;
    let set = |what: &str, value: usize| {
        gauges.with_label_values(&[what]).set(value as i64);
    };
    set("endpoints", all.len());
    set("endpoints-leaving", leaving);
    set("endpoints-limited", limited);
}
