//! Messages about the software version at which streams began
//! ([`dogwoodhill_policy::stream_versions`]).

use dogwoodhill_policy::stream_versions::{StreamKey, VersionTag};
use serde::{Deserialize, Serialize};

/// Path of [`FindStream`].
pub const FIND_STREAM_PATH: &str = "/internal/stream";

/// Streams that an entry began at one version, as part of its periodic report.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BegunStreams {
    /// The version.
    pub version: VersionTag,
    /// The streams.
    pub streams: Vec<StreamKey>,
}

/// Asks at which version a stream began. Answered with all versions that the instance has
/// a record of, as a list of [`VersionTag`]: several if streams share the key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FindStream {
    /// The stream.
    pub stream: StreamKey,
}
