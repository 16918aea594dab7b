//! Resources of an instance as its settings and its process limits give them.

use dogwoodhill_core::prelude::*;
use dogwoodhill_policy::intake::Resources;
use nix::sys::resource::{Resource, getrlimit};

/// Bytes of a megabyte.
const MEGABYTE: usize = 1_000_000;
/// Smallest instance, in megabytes.
const MIN_MEGABYTES: u64 = 64;
/// Fewest descriptors of an instance.
const MIN_DESCRIPTORS: u64 = 128;

/// Reads `memory_mb` and `max_descriptors`. By default the instance has the memory of the
/// smallest ones, and the descriptors that its process may open.
pub fn read(s: &mut Section<'_, '_>) -> Resources {
    let default = Resources::default();
    let megabytes = (default.memory / MEGABYTE) as u64;
    let limit = getrlimit(Resource::RLIMIT_NOFILE).map(|(soft, _)| soft);
    let limit = limit.unwrap_or(default.descriptors as u64);
    let sizes = MIN_MEGABYTES..=1_048_576;
    let counts = MIN_DESCRIPTORS..=10_000_000;
    let descriptors = limit.clamp(*counts.start(), *counts.end());
    Resources {
        memory: s.count("memory_mb", sizes, Some(megabytes)) as usize * MEGABYTE,
        descriptors: s.count("max_descriptors", counts, Some(descriptors)) as usize,
    }
}
