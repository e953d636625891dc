//! Measures calls at an open-loop rate.

/// Options of a run.
#[derive(Clone, Debug)]
pub struct Options {
    /// The profile's name.
    pub profile: String,
    /// What happens during the run.
    pub scenario: Option<String>,
    /// Calls a second.
    pub rate: Option<u32>,
    /// Length of the run in seconds.
    pub seconds: u32,
    /// The seed.
    pub seed: u64,
    /// A file to write JSON lines to.
    pub json: Option<String>,
}

/// Runs the measurement.
///
/// # Errors
///
/// Fails when a daemon cannot be started or a promise is broken.
pub fn main(options: &Options) -> anyhow::Result<()> {
    anyhow::bail!("not measured yet: {options:?}")
}
