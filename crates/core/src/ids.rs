//! Type aliases for identifiers, and the few limits that belong to them.

/// Name of a workspace (a customer of a service).
pub type WorkspaceId = String;
/// Name of a service, unique across the deployment.
pub type ServiceId = String;
/// Name of a class of requests inside one service.
pub type ClassId = String;
/// Name of an endpoint inside one service.
pub type EndpointId = String;
/// Name of a failure domain.
pub type DomainId = String;
/// Name of the team that owns a service document.
pub type TeamId = String;
/// Identifier of one caller request, echoed in `x-request-id`.
pub type RequestId = String;
/// Identifier of one try at running a request on one endpoint. Unique over
/// all entries: the upper 64 bits name the entry's start, the lower ones count.
pub type AttemptId = u128;
/// Position of an accepted change in the control log; it only rises.
pub type Revision = u64;
/// Version number an operator gives to a service document.
pub type Version = u64;
/// Fencing number of a lease; it only rises for one endpoint.
pub type Fence = u64;
/// Service tier: 0 is the most urgent.
pub type Tier = u8;

/// Number of tiers a document may use (0 to `TIERS - 1`).
pub const TIERS: usize = 6;
/// The longest name of a service, class, workspace, endpoint or domain.
pub const MAX_NAME_LEN: usize = 64;

/// Tells whether `name` may be used as a name: 1 to [`MAX_NAME_LEN`] characters
/// out of `a-z A-Z 0-9 . _ -`, not starting with a dot or a dash.
pub fn is_valid_name(name: &str) -> bool {
    let ok = |c: char| c.is_ascii_alphanumeric() || matches!(c, '.' | '_' | '-');
    !name.is_empty()
        && name.len() <= MAX_NAME_LEN
        && name.chars().all(ok)
        && !name.starts_with(['.', '-'])
}
