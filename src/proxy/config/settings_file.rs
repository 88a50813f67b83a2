//! Files of settings.

use rushquay_sockets::patiently;
use std::io;
use std::path::Path;

/// Reads a file of settings whole. Where the machine is short of descriptors it waits for some seconds. Danger: it blocks, so it is for
/// the start and for threads that nobody waits for.
///
/// # Errors
/// A file that can't be read.
pub fn read_text(path: &Path) -> io::Result<String> {
    patiently(|| std::fs::read_to_string(path))
}
