//! Locks that outlive a panic of their holder.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks a mutex. A role that panicked while it held the lock does not stop the others, since
/// every value behind a lock is replaced as a whole.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
