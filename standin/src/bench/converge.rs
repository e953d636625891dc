//! Measures convergence time and control bytes of a fleet of real daemons.

/// Options of a run.
#[derive(Clone, Debug)]
pub struct Options {
    /// Numbers of daemons, separated by commas.
    pub daemons: String,
    /// Modes, separated by commas.
    pub modes: String,
    /// Changes in a run.
    pub changes: u32,
    /// The seed.
    pub seed: u64,
    /// A file to write JSON lines to.
    pub json: Option<String>,
    /// A file to write a plot to.
    pub plot: Option<String>,
}

/// Runs the measurement.
///
/// # Errors
///
/// Fails when a daemon cannot be started or does not converge.
pub fn main(options: &Options) -> anyhow::Result<()> {
    anyhow::bail!("not measured yet: {options:?}")
}
