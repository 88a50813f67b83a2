//! Messages of HTTP/1.1 (RFC 9112): heads, lengths, chunk sizes, bodies, ends.

use super::{Found, Part};
use crate::script::HttpPart;
use std::collections::VecDeque;

/// A line of a head is kept up to here; what is longer says nothing that is looked for.
const LINE_MOST: usize = 256;
/// Requests whose answers have not begun, at most; a client that goes beyond makes its answers opaque.
const METHODS_MOST: usize = 4096;

/// The methods of requests whose answers are still to come: the answer to a HEAD has no body whatever its length says
/// (RFC 9112, 6.3).
#[derive(Debug, Default)]
pub struct Methods(VecDeque<bool>);

#[derive(Clone, Copy, Debug, PartialEq)]
enum At {
    /// Before the first byte of a message; blank lines are passed over (2.2).
    Between,
    /// In a line of a head.
    Head,
    /// So many bytes of a body are still to come.
    Body(u64),
    /// In the line that tells a chunk's size.
    ChunkSize,
    /// In a chunk; so many bytes are still to come, the line end behind it among them.
    Chunk(u64),
    /// In the trailer.
    Trailer,
    /// The rest is the body, up to the end of the connection.
    Rest,
    /// Not HTTP/1.
    Opaque,
}

/// Follows one direction.
#[derive(Debug)]
pub struct Http1 {
    answers: bool,
    at: At,
    offset: u64,
    messages: u64,
    line: Vec<u8>,
    line_start: bool,
    first_line: bool,
    length: Option<u64>,
    chunked: bool,
    no_body: bool,
    interim: bool,
    switched: bool,
    /// The first digit of a length or chunk size in this line is still to come.
    digit_due: bool,
    size: u64,
}

impl Http1 {
    /// A direction of answers, or of requests.
    pub fn new(answers: bool) -> Self {
        Http1 {
            answers,
            at: At::Between,
            offset: 0,
            messages: 0,
            line: Vec::new(),
            line_start: true,
            first_line: true,
            length: None,
            chunked: false,
            no_body: false,
            interim: false,
            switched: false,
            digit_due: false,
            size: 0,
        }
    }

    /// Whether a message has begun and not ended.
    pub fn busy(&self) -> bool {
        !matches!(self.at, At::Between | At::Opaque | At::Rest)
    }

    /// Takes the next byte; `found` hears of places.
    pub fn take(&mut self, byte: u8, methods: &mut Methods, mut found: impl FnMut(Found)) {
        let here = self.offset;
        self.offset += 1;
        let number = self.messages;
        let mut tell = |offset, part, number| found(Found { offset, part: Part::Http(part, number) });
        match self.at {
            At::Opaque | At::Rest => {}
            At::Between => {
                if matches!(byte, b'\r' | b'\n') {
                    return;
                }
                self.begin();
                tell(here, HttpPart::Head, self.messages);
                self.head(byte, here, methods, &mut tell);
            }
            At::Head => self.head(byte, here, methods, &mut tell),
            At::Body(1) => {
                self.at = At::Between;
                tell(here + 1, HttpPart::End, number);
            }
            At::Body(left) => self.at = At::Body(left - 1),
            At::ChunkSize => match byte {
                b'\n' => {
                    self.at = match self.size {
                        0 => At::Trailer,
                        size => At::Chunk(size.saturating_add(2)),
                    };
                    (self.line_start, self.digit_due) = (true, true);
                }
                _ if self.line_start => match (byte as char).to_digit(16) {
                    Some(digit) => {
                        if self.digit_due {
                            self.digit_due = false;
                            self.size = 0;
                            tell(here, HttpPart::ChunkSize, number);
                        }
                        self.size = self.size.saturating_mul(16).saturating_add(u64::from(digit));
                    }
                    // The size is over; extensions follow.
                    None if !self.digit_due => self.line_start = false,
                    None => self.at = At::Opaque,
                },
                _ => {}
            },
            At::Chunk(1) => self.chunk_size(),
            At::Chunk(left) => self.at = At::Chunk(left - 1),
            At::Trailer => match byte {
                b'\n' if self.line_start => {
                    self.at = At::Between;
                    tell(here + 1, HttpPart::End, number);
                }
                b'\n' => self.line_start = true,
                b'\r' => {}
                _ => self.line_start = false,
            },
        }
    }

    fn begin(&mut self) {
        self.messages += 1;
        self.at = At::Head;
        self.line.clear();
        (self.first_line, self.length, self.chunked) = (true, None, false);
        (self.no_body, self.interim, self.switched, self.digit_due) = (false, false, false, false);
    }

    fn chunk_size(&mut self) {
        (self.at, self.size, self.line_start, self.digit_due) = (At::ChunkSize, 0, true, true);
    }

    fn head(
        &mut self,
        byte: u8,
        here: u64,
        methods: &mut Methods,
        tell: &mut impl FnMut(u64, HttpPart, u64),
    ) {
        if byte != b'\n' {
            if byte != b'\r' && self.line.len() < LINE_MOST {
                const LENGTH: &[u8] = b"content-length:";
                let in_value = self.line.len() >= LENGTH.len()
                    && self.line[..LENGTH.len()].eq_ignore_ascii_case(LENGTH)
                    && self.line[LENGTH.len()..].iter().all(|b| matches!(b, b' ' | b'\t'));
                if in_value && byte.is_ascii_digit() {
                    tell(here, HttpPart::Length, self.messages);
                }
                self.line.push(byte);
            }
            return;
        }
        let line = std::mem::take(&mut self.line);
        if self.first_line {
            self.first_line = false;
            self.start_line(&line, methods);
            return;
        }
        if !line.is_empty() {
            self.field(&line);
            return;
        }
        // The head is whole.
        let after = here + 1;
        tell(after, HttpPart::Body, self.messages);
        self.at = if self.switched {
            At::Opaque
        } else if self.no_body {
            At::Between
        } else if self.chunked {
            self.chunk_size();
            At::ChunkSize
        } else {
            match self.length {
                Some(0) => At::Between,
                Some(length) => At::Body(length),
                // A request without a length has no body; an answer without one ends with its connection.
                None if self.answers => At::Rest,
                None => At::Between,
            }
        };
        if self.at == At::Between {
            tell(after, HttpPart::End, self.messages);
        }
    }

    fn start_line(&mut self, line: &[u8], methods: &mut Methods) {
        if !self.answers {
            if !line.windows(6).any(|w| w == b" HTTP/") {
                self.at = At::Opaque;
                return;
            }
            if methods.0.len() < METHODS_MOST {
                methods.0.push_back(line.starts_with(b"HEAD "));
            }
            self.switched = line.starts_with(b"CONNECT ");
            return;
        }
        let status = line.get(9..12).and_then(|s| std::str::from_utf8(s).ok()?.parse::<u16>().ok());
        let Some(status) = status.filter(|_| line.starts_with(b"HTTP/1.")) else {
            self.at = At::Opaque;
            return;
        };
        self.interim = (100..200).contains(&status);
        self.switched = status == 101;
        let head = !self.interim && methods.0.pop_front().unwrap_or(false);
        self.no_body = self.interim || head || matches!(status, 204 | 304);
    }

    fn field(&mut self, line: &[u8]) {
        let Some(colon) = line.iter().position(|b| *b == b':') else { return };
        let value = String::from_utf8_lossy(&line[colon + 1..]);
        let value = value.trim();
        if line[..colon].eq_ignore_ascii_case(b"content-length") {
            self.length = value.parse().ok();
        } else if line[..colon].eq_ignore_ascii_case(b"transfer-encoding") {
            let last = value.rsplit(',').next().unwrap_or("").trim();
            self.chunked = last.eq_ignore_ascii_case("chunked");
        }
    }
}
