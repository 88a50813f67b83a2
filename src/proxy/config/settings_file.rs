//! Reads settings files.

use rushquay_sockets::patiently;
use std::io;
use std::path::Path;

/// Reads a whole settings file, retrying for some seconds while the machine is short of descriptors. Danger: it blocks, so call it
/// only at startup and on detached threads.
///
/// # Errors
/// The file cannot be read.
pub fn read_text(path: &Path) -> io::Result<String> {
    patiently(|| std::fs::read_to_string(path))
}
