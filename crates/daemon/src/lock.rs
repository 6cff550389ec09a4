//! Locks whose holders can't leave what they guard half changed.

use std::sync::{Mutex, MutexGuard};

/// Locks, also after a holder has panicked: what is guarded here is whole between any two statements.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}
