//! The report as a table for a terminal.

use crate::burn::{Burn, Row, Window};
use std::fmt::Write;

/// Writes the table.
pub fn table(burn: &Burn) -> String {
    let mut out = format!(
        "{:<14} {:<12} {:<34} {:>6} {:>16} {:>16} {:>16} {:>9} {:>9} {:>9}\n",
        "service",
        "class",
        "target",
        "goal",
        "5 min (burn)",
        "1 h (burn)",
        "start (burn)",
        "tokens",
        "discarded",
        "doubled"
    );
    for row in &burn.rows {
        out.push_str(&line(row));
    }
    for entry in &burn.unread {
        let _ = writeln!(out, "not read: {entry}");
    }
    out
}

fn line(row: &Row) -> String {
    let counts = &row.total.counts;
    format!(
        "{:<14} {:<12} {:<34} {:>6} {:>16} {:>16} {:>16} {:>9} {:>9} {:>9}\n",
        row.service,
        row.class,
        row.target,
        format!("{:.1}%", row.objective * 100.0),
        cell(&row.short),
        cell(&row.long),
        cell(&row.total),
        counts.tokens,
        counts.discarded,
        counts.duplicated
    )
}

/// Attainment with burn, or a dash without requests.
pub(crate) fn cell(window: &Window) -> String {
    match (window.attainment, window.burn) {
        (Some(share), Some(burn)) => format!("{:.1}% ({burn:.1})", share * 100.0),
        _ => "-".to_string(),
    }
}
