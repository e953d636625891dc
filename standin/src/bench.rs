//! The measurements of the `bench` program, one module per subcommand.

pub mod calls;
pub mod converge;
pub mod operator;
pub mod soak;
