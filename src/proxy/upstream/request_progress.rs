//! How much of an attempt's request has gone to its node.

use std::cell::Cell;

/// The one owner of the fact whether a node can have got a request whole, and so may have run it. The body reports its last byte, of whatever
/// length and framing, and the socket reports what the system has accepted; nobody else derives it.
#[derive(Debug, Default)]
pub struct RequestProgress {
    /// Bytes of the request were accepted by the system.
    begun: Cell<bool>,
    /// The last byte of the request was handed over to be written.
    last_byte_handed_over: Cell<bool>,
    /// The last byte of the request was accepted by the system.
    written: Cell<bool>,
}

impl RequestProgress {
    /// Creates the progress of a message whose bytes are all handed over at once.
    pub fn of_whole_message() -> Self {
        RequestProgress { last_byte_handed_over: Cell::new(true), ..RequestProgress::default() }
    }

    /// Records that the system has accepted bytes.
    pub fn record_write(&self) {
        self.begun.set(true);
    }

    /// Records that the last byte was handed over to be written.
    pub fn record_last_byte_handed_over(&self) {
        self.last_byte_handed_over.set(true);
    }

    /// Records that the system has accepted everything that was handed over. Returns whether that has completed the request. Danger: a body
    /// that is streamed is flushed many times before its last byte.
    pub fn record_flush(&self) -> bool {
        let is_complete = self.begun.get() && self.last_byte_handed_over.get();
        is_complete && !self.written.replace(true)
    }

    /// Returns whether the last byte was accepted by the system: from then on the node may have run the request.
    pub fn is_written(&self) -> bool {
        self.written.get()
    }
}

#[cfg(test)]
mod tests;
