//! Locks mutexes without propagating panics of other threads.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

/// Locks a mutex and ignores poisoning: each update leaves the value consistent, so it
/// is valid even if the thread that held the lock panicked.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
