//! Mutex access that ignores poisoning.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks a mutex and ignores poisoning.
///
/// Values behind a lock are always replaced as a whole, so a role that panics while it holds the
/// lock leaves a consistent value and need not stop the other roles.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
