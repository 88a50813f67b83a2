//! Locking of mutexes whose data stays usable after a panic of another holder.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks a mutex; a poisoned one is used as it is.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
