//! Passes a client's bytes to hyper one request at a time, and checks the framing of each head first.

use crate::proxy::listener::read_buffer::{ReadBuffer, MAX_HEADERS, READ_CHUNK, UNLIMITED};
use crate::proxy::upstream::socket::{Io, Socket};
use crate::proxy::MAX_READ_AHEAD;
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::Instant;

/// The stream that hyper reads a client's connection from.
pub struct RequestFraming {
    io: Io,
    buffer: Rc<ReadBuffer>,
}

impl RequestFraming {
    pub fn new(socket: Rc<Socket>, buffer: Rc<ReadBuffer>) -> Self {
        RequestFraming { io: Io(socket), buffer }
    }

    /// Parses the buffered head. Returns how many bytes may be passed on once the head is complete, or can never be completed; in that
    /// case hyper reports the error.
    fn parse_head(&self) -> Option<u64> {
        let held = self.buffer.held.borrow();
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut request = httparse::Request::new(&mut headers);
        let head_length = match request.parse(&held) {
            Ok(httparse::Status::Complete(length)) => length as u64,
            Ok(httparse::Status::Partial) if held.len() < MAX_READ_AHEAD => return None,
            _ => return Some(UNLIMITED),
        };
        let values_of = |name: &'static str| {
            let has_name = move |h: &&httparse::Header<'_>| h.name.eq_ignore_ascii_case(name);
            request.headers.iter().filter(has_name).map(|h| h.value)
        };
        let content_length = values_of("content-length").next();
        let has_transfer_encoding = values_of("transfer-encoding").next().is_some();
        let has_fragment = request.path.is_some_and(|path| path.contains('#'));
        let fault = match (content_length, has_transfer_encoding) {
            // Danger: a proxy and a node that each rely on a different one of the two headers see different requests in the same
            // bytes (request smuggling). Hyper removes one of them silently.
            (Some(_), true) => Some("both Content-Length and Transfer-Encoding"),
            // Danger: hyper drops the fragment, so a different path would be forwarded.
            _ if has_fragment => Some("bad path"),
            _ => None,
        };
        self.buffer.head_since.set(None);
        self.buffer.heads.set(self.buffer.heads.get() + 1);
        self.buffer.fault.set(fault);
        self.buffer.has_unknown_length.set(has_transfer_encoding);
        let body = content_length.map_or(Some(0), |v| std::str::from_utf8(v).ok()?.parse::<u64>().ok());
        let request_length = body
            .filter(|_| !has_transfer_encoding && fault.is_none())
            .and_then(|body| head_length.checked_add(body));
        Some(request_length.unwrap_or(UNLIMITED))
    }

    /// Reads until a head is complete, or the client half-closes.
    fn poll_head(&self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let buffer = &self.buffer;
        while buffer.pass.get() == 0 {
            if !buffer.held.borrow().is_empty() {
                if let Some(length) = self.parse_head() {
                    buffer.begin_request(length);
                    break;
                }
                buffer.clear_arrivals();
            }
            let mut chunk = [0; READ_CHUNK];
            match ready!(self.io.poll_fill(cx, &mut chunk))? {
                0 => buffer.pass.set(UNLIMITED),
                n => buffer.take(&chunk[..n], Instant::now()),
            }
        }
        Poll::Ready(Ok(()))
    }

    /// Passes on buffered bytes, `max` at most, and returns how many.
    fn pass_on(&self, buf: &mut ReadBuf<'_>, max: usize) -> usize {
        let mut held = self.buffer.held.borrow_mut();
        let n = max.min(held.len());
        buf.put_slice(&held[..n]);
        held.drain(..n);
        if held.is_empty() {
            // An idle connection keeps no buffer.
            *held = Vec::new();
        } else if self.buffer.pass.get() == n as u64 {
            self.buffer.head_since.set(Some(Instant::now()));
        }
        n
    }
}

impl AsyncRead for RequestFraming {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        ready!(self.poll_head(cx))?;
        let buffer = &self.buffer;
        let max = buf.remaining().min(usize::try_from(buffer.pass.get()).unwrap_or(usize::MAX));
        let n = if buffer.held.borrow().is_empty() {
            let n = ready!(self.io.poll_fill(cx, buf.initialize_unfilled_to(max)))?;
            buf.advance(n);
            buffer.record_arrival(n, Instant::now());
            n
        } else {
            self.pass_on(buf, max)
        };
        buffer.passed_on(n);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for RequestFraming {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.io).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.io).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.io.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_shutdown(cx)
    }
}
