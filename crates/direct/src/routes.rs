//! Activates route sets received from control.

use crate::request::SharedState;
use crate::route_follower::RouteSink;
use dogwoodhill_core::prelude::*;
use dogwoodhill_policy::transfer::Text;
use dogwoodhill_route::prelude::*;
use dogwoodhill_route::set::SetFormat;
use dogwoodhill_wire::compress::decompress;
use std::sync::Arc;
use std::sync::atomic::Ordering;

/// Sink that activates route sets in the entry.
#[derive(Debug)]
pub struct RouteActivator {
    /// State that contains the active route set.
    pub shared: Arc<SharedState>,
    /// Parser of route sets.
    pub format: Box<dyn SetFormat>,
}

impl RouteActivator {
    fn read(&self, text: &Text) -> Result<RouteTable, String> {
        let source = decompress(&text.bytes).map_err(|error| error.to_string())?;
        let set = self.format.read(&source);
        set.map(RouteTable::new).map_err(|error| error.to_string())
    }
}

impl RouteSink for RouteActivator {
    fn version(&self) -> Option<Version> {
        let routes = self.shared.routes.load();
        routes.as_ref().map(|table| table.version())
    }

    fn set_entries(&self, entries: u32) {
        self.shared.entries.fetch_max(entries, Ordering::Relaxed);
    }

    fn take(&self, text: &Text, took: Duration) {
        let current = self.version();
        if current.is_some_and(|current| current >= text.version) {
            return;
        }
        let table = match self.read(text) {
            Ok(table) => table,
            Err(error) => {
                // Control validates sets with the same parser, but maybe of another
                // release.
                Event::new("routes-unreadable")
                    .field("version", text.version)
                    .field("reason", error)
                    .error();
                return;
            }
        };
        if !self.shared.activate_routes(table) {
            return;
        }
        Event::new("routes-in-force")
            .field("version", text.version)
            .field("before", current.unwrap_or_default())
            .field("bytes", text.bytes.len())
            .field("fetched_ms", took.as_millis())
            .info();
        let gauges = &self.shared.stats.gauges;
        let gauge = gauges.with_label_values(&["routes-version"]);
        gauge.set(text.version as i64);
    }

    fn piece_failed(&self, reason: &str) {
        let counter = &self.shared.stats.missed_pieces;
        counter.with_label_values(&[reason]).inc();
    }
}
