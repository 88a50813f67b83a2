//! Calls that a process makes once, at startup: a temporary shortage must not end it.

use crate::{classify, ErrorClass};
use std::io;
use std::time::{Duration, Instant};

/// The longest time to wait for the end of a shortage.
const MAX_WAIT: Duration = Duration::from_secs(5);
const RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Repeats a call while it is interrupted, or the machine lacks descriptors, buffers or memory for it. It blocks the
/// thread.
///
/// # Errors
/// Any other error, or a shortage that does not end.
pub fn patiently<T>(mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    let start = Instant::now();
    loop {
        let error = match call() {
            Ok(value) => return Ok(value),
            Err(e) => e,
        };
        // For the address of a listener this error means that the address is not this machine's.
        let is_permanent = error.kind() == io::ErrorKind::AddrNotAvailable;
        match classify(&error) {
            ErrorClass::Repeat => {}
            ErrorClass::Shortage if !is_permanent && start.elapsed() < MAX_WAIT => {
                std::thread::sleep(RETRY_INTERVAL);
            }
            _ => return Err(error),
        }
    }
}
