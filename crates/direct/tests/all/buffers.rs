//! Memory for buffered responses.

use dogwoodhill_direct::buffers::{BufferPool, FREE_BYTES};
use proptest::prelude::*;

const POOL: usize = 1024 * 1024;

proptest! {
    /// Whatever responses grow, shrink and end: what they reserve is never more than the
    /// pool, short ones always fit, and all of it is released in the end.
    #[test]
    fn fit_any_sizes_bounded(steps in prop::collection::vec((0..8usize, 0..600_000usize, any::<bool>()), 1..80)) {
        let pool = BufferPool::new(POOL);
        let mut spaces: Vec<_> = (0..8).map(|_| (pool.open(), 0)).collect();
        for (at, size, ends) in steps {
            if ends {
                spaces[at] = (pool.open(), 0);
            } else if spaces[at].0.fit(size) {
                spaces[at].1 = size;
            } else {
                prop_assert!(size > FREE_BYTES);
            }
            let held: usize = spaces.iter().map(|one| one.1.saturating_sub(FREE_BYTES)).sum();
            prop_assert!(held + pool.available() <= POOL, "{held} {}", pool.available());
        }
        drop(spaces);
        prop_assert_eq!(pool.available(), POOL);
    }
}

/// A response that finds the pool empty is given up, and others that end make room again.
#[test]
fn fit_pool_empty_refused() {
    let pool = BufferPool::new(POOL);
    let (mut first, mut second) = (pool.open(), pool.open());
    assert!(first.fit(POOL));
    assert!(!second.fit(POOL / 2));
    assert!(second.fit(FREE_BYTES), "a short response always fits");
    drop(first);
    assert!(second.fit(POOL / 2));
}
