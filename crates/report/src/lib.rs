//! The report on service-level burn.
//!
//! Entries count how requests ended, by class and minute
//! ([`dogwoodhill_core::burn`]). The report reads the counts of all entries it
//! is given, adds them up ([`burn`]), and shows them as a table ([`table`]),
//! as JSON, or as one page that needs nothing else ([`page`]). Counts are
//! added by minute, so the result does not depend on the order of reading;
//! an entry that can't be read is named, never silently left out.

pub mod arguments;
pub mod burn;
pub mod fetch;
pub mod page;
pub mod program;
pub mod table;
