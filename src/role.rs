//! The roles of a daemon. Each registers itself as a plugin of the kernel.

pub mod admin;
pub mod config;
pub mod inbound;
pub mod members;
pub mod mesh;
pub mod operator;
pub mod outbound;
pub mod quarantine;
pub mod quota;
pub mod reports;
pub mod rollout;
