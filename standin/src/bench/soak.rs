//! Runs daemons under random faults and checks the promises.

/// Options of a run.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Length of the run in minutes.
    pub minutes: u32,
    /// The number of daemons.
    pub daemons: u32,
    /// The seed.
    pub seed: u64,
}

/// Runs the soak.
///
/// # Errors
///
/// Fails when a promise is broken.
pub fn main(options: &Options) -> anyhow::Result<()> {
    anyhow::bail!("not run yet: {options:?}")
}
