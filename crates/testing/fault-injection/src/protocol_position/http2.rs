//! Frames of HTTP/2 (RFC 9113, 4.1), behind the client's preface (3.4).

use super::{Found, Part};
use crate::script::FramePart;

const PREFACE: &[u8] = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
const HEADER: usize = 9;

/// Follows one direction.
#[derive(Debug)]
pub struct Http2 {
    offset: u64,
    /// Bytes of the preface still to come; upwards only.
    preface: usize,
    header: [u8; HEADER],
    have: usize,
    /// Bytes of the payload still to come.
    payload: u32,
    opaque: bool,
}

impl Http2 {
    /// The client's direction, which has the preface, or the server's.
    pub fn new(client: bool) -> Self {
        let preface = if client { PREFACE.len() } else { 0 };
        Http2 { offset: 0, preface, header: [0; HEADER], have: 0, payload: 0, opaque: false }
    }

    /// Bytes of a frame's header whose type is not known yet.
    pub fn partial(&self) -> usize {
        if self.payload == 0 {
            self.have
        } else {
            0
        }
    }

    /// Whether a frame has begun and not ended.
    pub fn busy(&self) -> bool {
        !self.opaque && (self.have > 0 || self.payload > 0)
    }

    /// Takes the next byte. A frame's places are told once its header is whole.
    pub fn take(&mut self, byte: u8, mut found: impl FnMut(Found)) {
        let here = self.offset;
        self.offset += 1;
        if self.opaque {
            return;
        }
        if self.preface > 0 {
            self.opaque = PREFACE[PREFACE.len() - self.preface] != byte;
            self.preface -= 1;
            return;
        }
        let mut tell = |offset, part, kind| found(Found { offset, part: Part::Frame(part, kind) });
        if self.payload > 0 {
            self.payload -= 1;
            if self.payload == 0 {
                self.have = 0;
                tell(here + 1, FramePart::End, self.header[3]);
            }
            return;
        }
        self.header[self.have] = byte;
        self.have += 1;
        if self.have < HEADER {
            return;
        }
        let [a, b, c, kind, ..] = self.header;
        self.payload = u32::from_be_bytes([0, a, b, c]);
        let start = here + 1 - HEADER as u64;
        tell(start, FramePart::Frame, kind);
        tell(here + 1, FramePart::Payload, kind);
        if self.payload == 0 {
            self.have = 0;
            tell(here + 1, FramePart::End, kind);
        }
    }
}
