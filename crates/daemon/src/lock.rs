//! Mutex locking that ignores poisoning.

use std::sync::{Mutex, MutexGuard};

/// Locks a mutex, even if a holder has panicked: no critical section here leaves its data inconsistent between two
/// statements.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}
