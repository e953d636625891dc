//! The parts of the `bench` program.

pub mod calls;
pub mod converge;
pub mod operator;
pub mod soak;
