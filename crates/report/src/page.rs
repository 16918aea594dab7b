//! Renders the report as a self-contained HTML page, with the plot as inline SVG.

use crate::burn::{BurnReport, LONG_WINDOW_MINUTES, Row};
use crate::table::format_window;
use plotters::prelude::*;
use std::fmt::Write;

/// Width and height of the plot in pixels.
const PLOT_SIZE: (u32, u32) = (900, 360);
/// Style sheet of the page.
const STYLE_SHEET: &str = "body{font:15px/1.5 sans-serif;margin:2rem;color:#222}\
table{border-collapse:collapse}th,td{padding:.3rem .7rem;text-align:right;\
border-bottom:1px solid #ddd}th:nth-child(-n+3),td:nth-child(-n+3){text-align:left}\
.over{color:#b00020;font-weight:600}svg{max-width:100%;height:auto}";

/// Renders `report` as an HTML page.
///
/// # Errors
///
/// The error of the plotting library, as text.
pub fn render_page(report: &BurnReport) -> Result<String, String> {
    let mut out = String::from("<!doctype html>\n<html lang=\"en\"><head>");
    out.push_str("<meta charset=\"utf-8\"><title>Service-level burn</title>");
    let _ = write!(out, "<style>{STYLE_SHEET}</style></head><body>");
    let _ = write!(
        out,
        "<h1>Service-level burn</h1><p>{} entries read, {} not read. A burn of 1 \
         spends the error budget exactly as fast as the objective allows.</p>",
        report.read.len(),
        report.unread.len()
    );
    for entry in &report.unread {
        let _ = write!(
            out,
            "<p class=\"over\">not read: {}</p>",
            escape_html(entry)
        );
    }
    out.push_str("<table><tr><th>service</th><th>class</th><th>target</th>");
    out.push_str("<th>objective</th><th>5 min (burn)</th><th>1 h (burn)</th>");
    out.push_str("<th>since start (burn)</th><th>requests</th><th>shed</th>");
    out.push_str(
        "<th>unknown</th><th>tokens</th><th>discarded</th><th>doubled</th></tr>",
    );
    for row in &report.rows {
        out.push_str(&table_row(row));
    }
    out.push_str("</table><h2>Attainment by minute</h2>");
    out.push_str(&plot_attainment(&report.rows)?);
    out.push_str("</body></html>\n");
    Ok(out)
}

fn table_row(row: &Row) -> String {
    let counts = &row.total.counts;
    let mut out = format!(
        "<tr><td>{}</td><td>{}</td><td>{}</td><td>{:.1}%</td>",
        escape_html(&row.service),
        escape_html(&row.class),
        escape_html(&row.target),
        row.objective * 100.0
    );
    for window in [&row.short, &row.long, &row.total] {
        let over_budget = window.burn.is_some_and(|burn| burn > 1.0);
        let class = if over_budget { " class=\"over\"" } else { "" };
        let _ = write!(out, "<td{class}>{}</td>", format_window(window));
    }
    let _ = writeln!(
        out,
        "<td>{}</td><td>{}</td><td>{}</td><td>{}</td><td>{}</td><td>{}</td></tr>",
        counts.eligible(),
        counts.shed,
        counts.unknown,
        counts.tokens,
        counts.discarded,
        counts.duplicated
    );
    out
}

/// SVG plot of the attainment over the last hour, with one line per class.
fn plot_attainment(rows: &[Row]) -> Result<String, String> {
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, PLOT_SIZE).into_drawing_area();
        draw_chart(&area, rows).map_err(|error| error.to_string())?;
        area.present().map_err(|error| error.to_string())?;
    }
    Ok(svg)
}

type PlotArea<'a> = DrawingArea<SVGBackend<'a>, plotters::coord::Shift>;

fn draw_chart(
    area: &PlotArea<'_>,
    rows: &[Row],
) -> Result<(), Box<dyn std::error::Error>> {
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(area)
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(48)
        .build_cartesian_2d(-(LONG_WINDOW_MINUTES as f64)..0.0, 0.0..105.0)?;
    chart
        .configure_mesh()
        .x_desc("minutes before now")
        .y_desc("attainment, %")
        .x_labels(13)
        .light_line_style(WHITE)
        .draw()?;
    for (index, row) in rows.iter().enumerate() {
        let color = Palette99::pick(index).to_rgba();
        let points: Vec<(f64, f64)> = row
            .minutes
            .iter()
            .map(|minute| (-(minute.ago as f64), minute.attainment))
            .collect();
        chart
            .draw_series(LineSeries::new(points.clone(), color.stroke_width(2)))?
            .label(format!("{} {}", row.service, row.class))
            .legend(move |(x, y)| {
                PathElement::new(vec![(x, y), (x + 18, y)], color.stroke_width(2))
            });
        let dots = points
            .into_iter()
            .map(|point| Circle::new(point, 3, color.filled()));
        chart.draw_series(dots)?;
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::LowerLeft)
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK.mix(0.3))
        .draw()?;
    Ok(())
}

fn escape_html(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
        .replace('"', "&quot;")
}
