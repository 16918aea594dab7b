//! Report on the burn rate of service-level objectives.
//!
//! Entries count the outcomes of requests by class and minute
//! ([`dogwoodhill_core::burn`]). The report fetches the counts of all given entries
//! ([`fetch`]), sums them ([`burn`]), and writes a table ([`table`]), JSON, or a
//! self-contained HTML page ([`page`]). Counts are summed per minute, so the result does
//! not depend on the order in which the entries are read. An entry that can't be read is
//! listed as such, never omitted silently.

pub mod arguments;
pub mod burn;
pub mod fetch;
pub mod page;
pub mod program;
pub mod table;
