//! The pace of endpoints: how long work takes there, as they name it in their answers.
//!
//! An endpoint that shares its host has a lasting speed and, for fractions of a second,
//! takes a multiple of its usual time. The two are kept apart ([`track`]): the lasting
//! pace decides which prefixes an endpoint holds ([`weight`]), the momentary one only
//! where the next request goes. A momentary value is of use only while it is fresh, so
//! an entry asks the endpoints that may get a request ([`mod@plan`]) if their pace varies
//! ([`variation`]).

pub mod agreed;
pub mod plan;
pub mod track;
pub mod variation;
pub mod weight;

pub use plan::{Likely, ProbeBudget, Request, plan, probe_wait};
pub use track::Track;
pub use variation::Variation;
pub use weight::Share;

/// Named percentages that are plausible: a hundredth to a hundred times the usual.
const PERCENT: std::ops::RangeInclusive<f64> = 1.0..=10_000.0;

/// How long work takes at an endpoint, relative to the usual time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Pace {
    percent: u32,
}

impl Pace {
    /// Work takes the usual time.
    pub const USUAL: Self = Self { percent: 100 };

    /// The pace of an endpoint where work takes `percent` of the usual time; `None` for
    /// values that no endpoint means.
    pub fn from_percent(percent: f64) -> Option<Self> {
        PERCENT.contains(&percent).then(|| Self {
            percent: percent.round() as u32,
        })
    }

    /// Percentage of the usual time.
    pub fn percent(self) -> u32 {
        self.percent
    }

    /// Multiple of the usual time.
    pub fn factor(self) -> f64 {
        f64::from(self.percent) / 100.0
    }
}

/// What an answer names as the endpoint's pace.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Named {
    /// Nothing.
    #[default]
    Absent,
    /// A value that cannot be a pace.
    Invalid,
    /// A pace.
    Value(Pace),
}

impl Named {
    /// Reads a percentage; `None` where the answer has none.
    pub fn parse(text: Option<&str>) -> Self {
        let Some(text) = text else {
            return Self::Absent;
        };
        let percent = text.trim().parse().ok().and_then(Pace::from_percent);
        percent.map_or(Self::Invalid, Self::Value)
    }

    /// The pace, if a valid one is named.
    pub fn value(self) -> Option<Pace> {
        match self {
            Self::Value(pace) => Some(pace),
            Self::Absent | Self::Invalid => None,
        }
    }
}
