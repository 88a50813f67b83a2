//! Values of RESP2 and RESP3, as commands and as replies: where each begins, the digits of its lengths, its body, its
//! end.

use super::{Found, Part};
use crate::script::RespPart;

/// Arrays within arrays, at most; deeper is opaque.
const DEPTH_MOST: usize = 32;

#[derive(Clone, Copy, Debug, PartialEq)]
enum At {
    /// Before the byte that tells the type.
    Type,
    /// In a line that says all: a number, a simple string, an inline command.
    Line,
    /// In the digits of a length; the type that they belong to.
    Length(u8),
    /// In a bulk; so many bytes are still to come, the line end behind it among them.
    Bulk(u64),
    Opaque,
}

/// Follows one direction.
#[derive(Debug)]
pub struct Resp {
    offset: u64,
    at: At,
    /// Values still to come in each array that is open.
    open: Vec<u64>,
    length: Option<u64>,
    negative: bool,
    first: bool,
}

impl Default for Resp {
    fn default() -> Self {
        Resp { offset: 0, at: At::Type, open: Vec::new(), length: None, negative: false, first: true }
    }
}

impl Resp {
    /// Whether a value has begun and not ended.
    pub fn busy(&self) -> bool {
        self.at != At::Opaque && (self.at != At::Type || !self.open.is_empty())
    }

    /// Takes the next byte.
    pub fn take(&mut self, byte: u8, mut found: impl FnMut(Found)) {
        let here = self.offset;
        self.offset += 1;
        let mut tell = |offset, part| found(Found { offset, part: Part::Resp(part) });
        match self.at {
            At::Opaque => {}
            At::Type => {
                if self.open.is_empty() {
                    if matches!(byte, b'\r' | b'\n') {
                        return;
                    }
                    tell(here, RespPart::Reply);
                }
                (self.length, self.negative, self.first) = (None, false, true);
                self.at = match byte {
                    b'$' | b'=' | b'!' | b'*' | b'%' | b'~' | b'>' | b'|' => At::Length(byte),
                    _ => At::Line,
                };
            }
            At::Line => {
                if byte == b'\n' {
                    self.ended(here + 1, &mut tell);
                }
            }
            At::Length(kind) => match byte {
                b'0'..=b'9' => {
                    if self.first {
                        self.first = false;
                        tell(here, RespPart::Length);
                    }
                    let digit = u64::from(byte - b'0');
                    self.length = Some(self.length.unwrap_or(0).saturating_mul(10).saturating_add(digit));
                }
                b'-' => self.negative = true,
                b'\r' => {}
                b'\n' => self.measured(kind, here + 1, &mut tell),
                _ => self.at = At::Opaque,
            },
            At::Bulk(1) => self.ended(here + 1, &mut tell),
            At::Bulk(left) => self.at = At::Bulk(left - 1),
        }
    }

    fn measured(&mut self, kind: u8, after: u64, tell: &mut impl FnMut(u64, RespPart)) {
        let length = match (self.length, self.negative) {
            (Some(_), true) => return self.ended(after, tell),
            (Some(length), false) => length,
            (None, _) => return self.at = At::Opaque,
        };
        if matches!(kind, b'$' | b'=' | b'!') {
            tell(after, RespPart::Body);
            return self.at = At::Bulk(length.saturating_add(2));
        }
        let values = if matches!(kind, b'%' | b'|') { length.saturating_mul(2) } else { length };
        match values {
            // Attributes are no value: what they belong to follows (RESP3, "Attribute type").
            0 if kind == b'|' => self.at = At::Type,
            0 => self.ended(after, tell),
            _ if self.open.len() >= DEPTH_MOST => self.at = At::Opaque,
            _ => {
                self.open.push(values.saturating_add(u64::from(kind == b'|')));
                self.at = At::Type;
            }
        }
    }

    /// A value has ended, and with it perhaps those that it was the last of.
    fn ended(&mut self, after: u64, tell: &mut impl FnMut(u64, RespPart)) {
        self.at = At::Type;
        while let Some(left) = self.open.last_mut() {
            *left -= 1;
            if *left > 0 {
                return;
            }
            self.open.pop();
        }
        tell(after, RespPart::End);
    }
}
