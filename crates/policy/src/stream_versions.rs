//! The software version at which each recent stream began.
//!
//! A stream can resume only at an endpoint whose software has the version that began it.
//! The entry that began the stream may be gone when its caller resumes it at another one,
//! so entries report the streams that they begin to control, and an entry without a record
//! of its own asks there.
//!
//! Streams are recorded once, in order of time, and looked up rarely. They are therefore
//! kept in slices of time: only the newest one is searched linearly, and expired slices
//! are dropped as a whole.
//!
//! Invariants: a stream that was recorded with two versions has none; memory is bounded,
//! and the oldest streams are dropped first.

use dogwoodhill_core::prelude::*;
use std::collections::VecDeque;

/// How long a stream may be resumed after it began: several times the longest time limit
/// of a stream.
pub const STREAM_RETENTION: Duration = Duration::from_secs(60);
/// Length of a slice.
const SLICE: Duration = Duration::from_secs(1);
/// Maximum number of streams, 16 bytes each.
const MAX_STREAMS: usize = 1 << 20;

/// Keyed digest of a stream's workspace and of the attempt that began it.
pub type StreamKey = u64;
/// Hash of a service and of a version of its endpoints' software.
pub type VersionTag = u64;

/// The streams that began within one interval.
#[derive(Clone, Debug)]
struct Slice {
    began: Duration,
    /// Sorted once the slice is complete.
    streams: Vec<(StreamKey, VersionTag)>,
}

/// The streams that began recently.
#[derive(Clone, Debug, Default)]
pub struct StreamVersions {
    /// Oldest first; all but the last are complete.
    slices: VecDeque<Slice>,
    count: usize,
}

impl StreamVersions {
    /// Records that a stream began at `version`.
    pub fn record(&mut self, now: Duration, stream: StreamKey, version: VersionTag) {
        self.expire(now);
        let open = self.slices.back().filter(|open| now < open.began + SLICE);
        if open.is_none() {
            if let Some(complete) = self.slices.back_mut() {
                complete.streams.sort_unstable();
            }
            let streams = Vec::new();
            self.slices.push_back(Slice {
                began: now,
                streams,
            });
        }
        if let Some(open) = self.slices.back_mut() {
            open.streams.push((stream, version));
            self.count += 1;
        }
    }

    /// The version that began a stream; `None` if that is unknown or ambiguous.
    pub fn find(&self, now: Duration, stream: StreamKey) -> Option<VersionTag> {
        match *self.find_all(now, stream) {
            [version] => Some(version),
            _ => None,
        }
    }

    /// The versions that a stream was recorded with, sorted; several if streams share its
    /// key.
    pub fn find_all(&self, now: Duration, stream: StreamKey) -> Vec<VersionTag> {
        let newest = self.slices.len().saturating_sub(1);
        let recent = self.slices.iter().enumerate();
        let recent = recent.filter(|(_, slice)| slice.is_recent(now));
        let found = recent.flat_map(|(at, slice)| slice.find(stream, at < newest));
        let mut found: Vec<VersionTag> = found.collect();
        found.sort_unstable();
        found.dedup();
        found
    }

    /// Number of streams.
    pub fn len(&self) -> usize {
        self.count
    }

    /// Whether there are no streams.
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    fn expire(&mut self, now: Duration) {
        while let Some(oldest) = self.slices.front()
            && (!oldest.is_recent(now) || self.count >= MAX_STREAMS)
        {
            self.count -= oldest.streams.len();
            self.slices.pop_front();
        }
    }
}

impl Slice {
    fn is_recent(&self, now: Duration) -> bool {
        now < self.began + SLICE + STREAM_RETENTION
    }

    /// The versions recorded for a stream.
    fn find(
        &self,
        stream: StreamKey,
        sorted: bool,
    ) -> impl Iterator<Item = VersionTag> + '_ {
        let from = if sorted {
            self.streams.partition_point(|known| known.0 < stream)
        } else {
            0
        };
        let matching = self.streams[from..]
            .iter()
            .take_while(move |known| !sorted || known.0 == stream);
        matching
            .filter(move |known| known.0 == stream)
            .map(|known| known.1)
    }
}
