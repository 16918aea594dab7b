//! Limits on the rate of requests that endpoints name.

use derive_more::Display;

/// Largest rate that is told apart from no limit, in requests a second: more than any
/// endpoint serves.
const MOST: f64 = 100_000.0;

/// Requests a second that an endpoint takes of all entries together.
#[derive(Clone, Copy, Debug, Display, PartialEq, PartialOrd)]
#[display("{_0}")]
pub struct Rate(f64);

impl Rate {
    /// A rate of `per_second`; `None` where that is no number of requests.
    pub fn new(per_second: f64) -> Option<Self> {
        let valid = per_second.is_finite() && per_second >= 0.0;
        valid.then(|| Self(per_second.min(MOST)))
    }

    /// Requests a second.
    pub fn per_second(self) -> f64 {
        self.0
    }
}

/// What an endpoint's answer says of a limit.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq)]
pub enum Limit {
    /// It names none.
    #[default]
    #[display("none")]
    Unnamed,
    /// It takes so much.
    #[display("{_0}")]
    Named(Rate),
    /// It names one that can't be read.
    #[display("unreadable")]
    Unreadable,
}

impl Limit {
    /// The limit of an answer that names these numbers: the lowest of them, as far as they
    /// can be read.
    pub fn named<'a>(numbers: impl Iterator<Item = &'a str>) -> Self {
        numbers.fold(Self::Unnamed, |limit, number| {
            let rate = number.trim().parse().ok().and_then(Rate::new);
            match (limit, rate) {
                (Self::Named(known), Some(rate)) if known <= rate => limit,
                (_, Some(rate)) => Self::Named(rate),
                (Self::Unnamed, None) => Self::Unreadable,
                (_, None) => limit,
            }
        })
    }
}
