//! Resources of an instance as its settings and its process limits give them.

use dogwoodhill_core::prelude::*;
use dogwoodhill_policy::intake::Resources;
use nix::sys::resource::{Resource, getrlimit};
use std::ops::RangeInclusive;

/// Bytes of a megabyte.
const MEGABYTE: f64 = 1_000_000.0;
/// Memory of an instance, in megabytes.
const MEGABYTES: RangeInclusive<f64> = 16.0..=1_048_576.0;
/// Descriptors of an instance.
const DESCRIPTORS: RangeInclusive<f64> = 64.0..=10_000_000.0;

/// Reads `memory_mb` and `max_descriptors`. By default the instance has the memory of the
/// smallest ones, and the descriptors that its process may open.
pub fn read(s: &mut Section<'_, '_>) -> Resources {
    let default = Resources::default();
    let megabytes = default.memory as f64 / MEGABYTE;
    let limit = getrlimit(Resource::RLIMIT_NOFILE).map(|(soft, _)| soft as f64);
    let limit = limit.unwrap_or(default.descriptors as f64);
    let limit = limit.clamp(*DESCRIPTORS.start(), *DESCRIPTORS.end());
    let memory = s.number("memory_mb", MEGABYTES, Some(megabytes)) * MEGABYTE;
    Resources {
        memory: memory as usize,
        descriptors: s.number("max_descriptors", DESCRIPTORS, Some(limit)) as usize,
    }
}
