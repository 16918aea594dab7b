//! The work of one request: the largest of its parts of the resources of an endpoint.

use derive_more::Display;

/// Work of a request without a prompt, in seconds. Its duration is not known in advance,
/// and the division of the room depends only on ratios.
const PLAIN_WORK: f64 = 0.01;
/// Time between two tokens of a stream, in seconds, by which the time in a slot is
/// estimated.
const TOKEN_SECONDS: f64 = 0.006_5;

/// Resource of an endpoint.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq)]
pub enum Resource {
    /// Time of the prefill of prompts.
    #[display("prefill")]
    Prefill,
    /// Slots for requests that run at once.
    #[default]
    #[display("slots")]
    Slots,
    /// Memory for the tokens of running requests.
    #[display("memory")]
    Memory,
}

/// Resources in the order of [`Cost::resource`] as an index.
pub const RESOURCES: [Resource; 3] =
    [Resource::Prefill, Resource::Slots, Resource::Memory];

/// Resources of one endpoint; 0 for one that is unknown, which then counts as unlimited.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Capacity {
    /// Tokens prefilled per second.
    pub prefill: f64,
    /// Requests that run at once.
    pub slots: f64,
    /// Tokens that fit into memory.
    pub memory: f64,
}

/// Size of a request, in tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Size {
    /// Tokens of the prompt that are not expected in a prefix cache.
    pub uncached: f64,
    /// All tokens of the prompt.
    pub prompt: f64,
    /// Upper bound on generated tokens.
    pub output: f64,
}

/// Work of a request.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Cost {
    /// Seconds of one endpoint.
    pub work: f64,
    /// Whether the request has a prompt: engines order their queue by priority.
    pub prompt: bool,
    /// The resource of which it takes the largest part.
    pub resource: Resource,
}

impl Cost {
    /// Work of a request of `size` at an endpoint with `capacity`.
    pub fn of(size: Size, capacity: Capacity) -> Self {
        if size.prompt <= 0.0 {
            return Self {
                work: PLAIN_WORK,
                prompt: false,
                resource: Resource::Slots,
            };
        }
        let prefill = part(size.uncached, capacity.prefill);
        let held = prefill + size.output.max(0.0) * TOKEN_SECONDS;
        let slots = part(held, capacity.slots);
        let memory = part(held * (size.prompt + size.output), capacity.memory);
        let parts = [prefill, slots, memory];
        let largest = (0..parts.len()).max_by(|a, b| parts[*a].total_cmp(&parts[*b]));
        let at = largest.unwrap_or_default();
        if parts[at] <= 0.0 {
            return Self {
                prompt: true,
                ..Self::of(Size::default(), capacity)
            };
        }
        Self {
            work: parts[at],
            prompt: true,
            resource: RESOURCES[at],
        }
    }

    /// Whether endpoints serve the request in the order of arrival.
    pub fn is_plain(&self) -> bool {
        !self.prompt
    }
}

/// Part of a resource; 0 if the resource is unknown.
fn part(used: f64, capacity: f64) -> f64 {
    let part = used / capacity;
    if capacity > 0.0 && part.is_finite() {
        part.max(0.0)
    } else {
        0.0
    }
}
