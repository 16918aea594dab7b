//! Renders the report as a table for a terminal.

use crate::burn::{BurnReport, Row, Window};
use std::fmt::Write;

/// Renders `report` with one line per class and one line per entry that could not be
/// read.
pub fn render_table(report: &BurnReport) -> String {
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
    for row in &report.rows {
        out.push_str(&table_line(row));
    }
    for entry in &report.unread {
        let _ = writeln!(out, "not read: {entry}");
    }
    out
}

fn table_line(row: &Row) -> String {
    let counts = &row.total.counts;
    format!(
        "{:<14} {:<12} {:<34} {:>6} {:>16} {:>16} {:>16} {:>9} {:>9} {:>9}\n",
        row.service,
        row.class,
        row.target,
        format!("{:.1}%", row.objective * 100.0),
        format_window(&row.short),
        format_window(&row.long),
        format_window(&row.total),
        counts.tokens,
        counts.discarded,
        counts.duplicated
    )
}

/// Attainment in percent and burn rate, or a dash if there were no eligible requests.
pub(crate) fn format_window(window: &Window) -> String {
    match (window.attainment, window.burn) {
        (Some(share), Some(burn)) => format!("{:.1}% ({burn:.1})", share * 100.0),
        _ => "-".to_string(),
    }
}
