//! Type aliases for identifiers, and their limits.

/// Name of a workspace, a customer of a service.
pub type WorkspaceId = String;
/// Name of a service, unique across the deployment.
pub type ServiceId = String;
/// Name of a class of requests, unique within its service.
pub type ClassId = String;
/// Name of an endpoint, unique within its service.
pub type EndpointId = String;
/// Version of an endpoint's software, as its list names it. Two versions are equal or
/// different; they have no order.
pub type SoftwareVersion = String;
/// Name of a failure domain.
pub type DomainId = String;
/// Name of the team that owns a service document.
pub type TeamId = String;
/// Identifier of a caller's request, returned in `x-request-id`.
pub type RequestId = String;
/// Identifier of one attempt to run a request on one endpoint. Unique over all entries:
/// the upper 64 bits identify the entry's process, the lower 64 bits are a counter.
pub type AttemptId = u128;
/// Position of an accepted change in the control log; increases strictly.
pub type Revision = u64;
/// Version number that an operator assigns to a document.
pub type Version = u64;
/// Fencing token of a lease; increases with each new holder for an endpoint.
pub type Fence = u64;
/// Priority tier of a request; 0 is the most urgent.
pub type Tier = u8;

/// Number of tiers; valid tiers are 0 to `TIERS - 1`.
pub const TIERS: usize = 6;
/// Longest name of a service, class, workspace, endpoint or failure domain, in bytes.
pub const MAX_NAME_LEN: usize = 64;

/// Returns whether `name` is a valid name: 1 to [`MAX_NAME_LEN`] characters from
/// `a-z A-Z 0-9 . _ -`, not starting with a dot or a dash.
pub fn is_valid_name(name: &str) -> bool {
    let ok = |c: char| c.is_ascii_alphanumeric() || matches!(c, '.' | '_' | '-');
    !name.is_empty()
        && name.len() <= MAX_NAME_LEN
        && name.chars().all(ok)
        && !name.starts_with(['.', '-'])
}
