//! The slopes that the capacity page is worked out from.
//!
//! Each measurement is made at three or more sizes and printed as one table
//! row for each size, with the fitted slope below. Watchers are tasks in this
//! process; everything talks over loopback.

pub mod claims;
pub mod decision;
pub mod memory;
pub mod placement;
pub mod recovery;
pub mod routes;
pub mod traffic;
pub mod watchers;

use std::fmt::Write;

/// One measured pair.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Pair {
    /// Size.
    pub x: f64,
    /// What was measured at it.
    pub y: f64,
}

/// A least-squares line.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fit {
    /// Growth per unit of size.
    pub slope: f64,
    /// Value at size zero.
    pub base: f64,
    /// Share of the variance that the line explains.
    pub quality: f64,
}

/// Fits a line through at least two pairs.
pub fn fit(pairs: &[Pair]) -> Fit {
    let count = pairs.len() as f64;
    let mean_x = pairs.iter().map(|p| p.x).sum::<f64>() / count;
    let mean_y = pairs.iter().map(|p| p.y).sum::<f64>() / count;
    let xy: f64 = pairs.iter().map(|p| (p.x - mean_x) * (p.y - mean_y)).sum();
    let xx: f64 = pairs.iter().map(|p| (p.x - mean_x).powi(2)).sum();
    let yy: f64 = pairs.iter().map(|p| (p.y - mean_y).powi(2)).sum();
    let slope = xy / xx;
    let quality = if yy > 0.0 { xy * xy / (xx * yy) } else { 1.0 };
    Fit {
        slope,
        base: mean_y - slope * mean_x,
        quality,
    }
}

/// A table of one measurement.
#[derive(Clone, Debug)]
pub struct Table {
    title: String,
    columns: Vec<String>,
    rows: Vec<Vec<f64>>,
}

impl Table {
    /// An empty table; the first column is the size.
    pub fn new(title: &str, columns: &[&str]) -> Self {
        Self {
            title: title.to_string(),
            columns: columns.iter().map(|c| (*c).to_string()).collect(),
            rows: Vec::new(),
        }
    }

    /// Adds one size's measurements.
    pub fn add(&mut self, row: &[f64]) {
        self.rows.push(row.to_vec());
    }

    /// The table in Markdown, with the fit of each column below.
    pub fn text(&self) -> String {
        let mut out = format!("\n### {}\n\n|", self.title);
        for column in &self.columns {
            let _ = write!(out, " {column} |");
        }
        out.push_str("\n|");
        self.columns.iter().for_each(|_| out.push_str(" --- |"));
        for row in &self.rows {
            out.push_str("\n|");
            for value in row {
                let _ = write!(out, " {value:.2} |");
            }
        }
        out.push_str("\n| slope (fit) |");
        for column in 1..self.columns.len() {
            let pair = |row: &Vec<f64>| Pair {
                x: row[0],
                y: row[column],
            };
            let pairs: Vec<Pair> = self.rows.iter().map(pair).collect();
            let fit = fit(&pairs);
            let _ = write!(
                out,
                " {:.4} + {:.2} (r2 {:.2}) |",
                fit.slope, fit.base, fit.quality
            );
        }
        out.push('\n');
        out
    }
}

/// Measures every slope, or only that of route sets, and prints the tables.
///
/// # Errors
///
/// Text that says why a measurement could not be made.
pub async fn run(only_routes: bool) -> Result<(), String> {
    for packed in [true, false] {
        print!("{}", routes::measure(packed).await?.text());
    }
    if only_routes {
        return Ok(());
    }
    print!("{}", decision::measure().text());
    print!("{}", placement::measure().text());
    print!("{}", memory::waiting().text());
    print!("{}", memory::documents().text());
    print!("{}", memory::streams().await.text());
    print!("{}", traffic::measure().await.text());
    print!("{}", watchers::measure().await?.text());
    print!("{}", claims::measure().await?.text());
    print!("{}", recovery::measure().await?.text());
    Ok(())
}
