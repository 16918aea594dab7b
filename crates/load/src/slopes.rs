//! Measurements of how costs grow with size: the slopes that `docs/CAPACITY.md` uses.
//!
//! Each measurement is made at three or more sizes and printed as a table with one row
//! per size and the fitted line below. All daemons are tasks in this process and
//! communicate over loopback.

pub mod claims;
pub mod decision;
pub mod memory;
pub mod placement;
pub mod recovery;
pub mod routes;
pub mod traffic;
pub mod watchers;

use std::fmt::Write;

/// One value measured at one size.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Point {
    /// Size at which the value was measured, such as a number of endpoints.
    pub x: f64,
    /// Value measured at this size.
    pub y: f64,
}

/// A line fitted by least squares.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LinearFit {
    /// Growth per unit of size.
    pub slope: f64,
    /// Value of the line at size zero.
    pub intercept: f64,
    /// Share of the variance that the line explains (R²).
    pub r_squared: f64,
}

/// Fits a line to at least two points of different sizes.
pub fn fit_line(points: &[Point]) -> LinearFit {
    let count = points.len() as f64;
    let mean_x = points.iter().map(|p| p.x).sum::<f64>() / count;
    let mean_y = points.iter().map(|p| p.y).sum::<f64>() / count;
    let xy: f64 = points.iter().map(|p| (p.x - mean_x) * (p.y - mean_y)).sum();
    let xx: f64 = points.iter().map(|p| (p.x - mean_x).powi(2)).sum();
    let yy: f64 = points.iter().map(|p| (p.y - mean_y).powi(2)).sum();
    let slope = xy / xx;
    let r_squared = if yy > 0.0 { xy * xy / (xx * yy) } else { 1.0 };
    LinearFit {
        slope,
        intercept: mean_y - slope * mean_x,
        r_squared,
    }
}

/// Results of one measurement at several sizes.
#[derive(Clone, Debug)]
pub struct Table {
    title: String,
    columns: Vec<String>,
    rows: Vec<Vec<f64>>,
}

impl Table {
    /// Creates an empty table; the first of `columns` is the size.
    pub fn new(title: &str, columns: &[&str]) -> Self {
        Self {
            title: title.to_string(),
            columns: columns.iter().map(|c| (*c).to_string()).collect(),
            rows: Vec::new(),
        }
    }

    /// Adds the values of one size, with the size as the first.
    pub fn add_row(&mut self, row: &[f64]) {
        self.rows.push(row.to_vec());
    }

    /// Formats the table as Markdown; the last row has the fitted line of each column.
    pub fn to_markdown(&self) -> String {
        let mut output = format!("\n### {}\n\n|", self.title);
        for column in &self.columns {
            let _ = write!(output, " {column} |");
        }
        output.push_str("\n|");
        self.columns.iter().for_each(|_| output.push_str(" --- |"));
        for row in &self.rows {
            output.push_str("\n|");
            for value in row {
                let _ = write!(output, " {value:.2} |");
            }
        }
        output.push_str("\n| slope (fit) |");
        for column in 1..self.columns.len() {
            let point = |row: &Vec<f64>| Point {
                x: row[0],
                y: row[column],
            };
            let points: Vec<Point> = self.rows.iter().map(point).collect();
            let fit = fit_line(&points);
            let _ = write!(
                output,
                " {:.4} + {:.2} (r2 {:.2}) |",
                fit.slope, fit.intercept, fit.r_squared
            );
        }
        output.push('\n');
        output
    }
}

/// Runs all measurements, or only those of route sets, and prints their tables.
///
/// # Errors
///
/// A message for the operator if a measurement fails.
pub async fn run(only_routes: bool) -> Result<(), String> {
    for compressed in [true, false] {
        print!("{}", routes::measure(compressed).await?.to_markdown());
    }
    if only_routes {
        return Ok(());
    }
    print!("{}", decision::measure().to_markdown());
    print!("{}", placement::measure().to_markdown());
    print!("{}", memory::waiting().to_markdown());
    print!("{}", memory::documents().to_markdown());
    print!("{}", memory::streams().await.to_markdown());
    print!("{}", traffic::measure().await.to_markdown());
    print!("{}", watchers::measure().await?.to_markdown());
    print!("{}", claims::measure().await?.to_markdown());
    print!("{}", recovery::measure().await?.to_markdown());
    Ok(())
}
