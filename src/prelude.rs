//! Re-exports of the types that nearly every module uses.

pub use crate::error::{Category, Error, Result};
pub use crate::event::Event;
pub use crate::resource::{Kind, ResourceKey, Spec};
pub use crate::snapshot::{Snapshot, Stamp};
pub use std::collections::{BTreeMap, BTreeSet};
pub use std::sync::Arc;
pub use std::time::Duration;
