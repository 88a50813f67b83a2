//! Calls that a process makes once, when it starts: it must not end for a shortage that passes.

use crate::{classify, ErrorClass};
use std::io;
use std::time::{Duration, Instant};

/// A shortage is waited out for so long.
const WAIT_MOST: Duration = Duration::from_secs(5);
const AGAIN: Duration = Duration::from_millis(50);

/// Makes a call again where it is interrupted or the machine lacks descriptors, buffers or memory for it. It blocks.
///
/// # Errors
/// Anything else, or a shortage that does not pass.
pub fn patiently<T>(mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    let start = Instant::now();
    loop {
        let error = match call() {
            Ok(done) => return Ok(done),
            Err(e) => e,
        };
        // Of an address to listen at, this says that it is none of this machine's.
        let lasts = error.kind() == io::ErrorKind::AddrNotAvailable;
        match classify(&error) {
            ErrorClass::Repeat => {}
            ErrorClass::Shortage if !lasts && start.elapsed() < WAIT_MOST => std::thread::sleep(AGAIN),
            _ => return Err(error),
        }
    }
}
