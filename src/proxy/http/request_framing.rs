//! Passes a client's bytes to hyper one request at a time, and checks the framing of each head first.

use crate::proxy::listener::read_buffer::{ReadBuffer, ALL, HEADERS_MOST, PART};
use crate::proxy::upstream::socket::{Io, Socket};
use crate::proxy::BUFFER_MOST;
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::Instant;

/// The stream that hyper reads a client's connection from.
pub struct RequestFraming {
    io: Io,
    intake: Rc<ReadBuffer>,
}

impl RequestFraming {
    pub fn new(socket: Rc<Socket>, intake: Rc<ReadBuffer>) -> Self {
        RequestFraming { io: Io(socket), intake }
    }

    /// How many bytes may be passed on, once the held head is complete or can never be; hyper reports what is wrong with it.
    fn look(&self) -> Option<u64> {
        let held = self.intake.held.borrow();
        let mut headers = [httparse::EMPTY_HEADER; HEADERS_MOST];
        let mut request = httparse::Request::new(&mut headers);
        let length = match request.parse(&held) {
            Ok(httparse::Status::Complete(length)) => length as u64,
            Ok(httparse::Status::Partial) if held.len() < BUFFER_MOST => return None,
            _ => return Some(ALL),
        };
        let named = |name: &'static str| {
            let of_name = move |h: &&httparse::Header<'_>| h.name.eq_ignore_ascii_case(name);
            request.headers.iter().filter(of_name).map(|h| h.value)
        };
        let told = named("content-length").next();
        let coded = named("transfer-encoding").next().is_some();
        let cut = request.path.is_some_and(|path| path.contains('#'));
        let fault = match (told, coded) {
            // Danger: a proxy and a node that each trust a different one of the two lengths see different requests in the same
            // bytes (request smuggling). Hyper removes one of them silently.
            (Some(_), true) => Some("both Content-Length and Transfer-Encoding"),
            // Danger: hyper drops the fragment, so that a different path would be forwarded.
            _ if cut => Some("bad path"),
            _ => None,
        };
        self.intake.head_since.set(None);
        self.intake.heads.set(self.intake.heads.get() + 1);
        self.intake.fault.set(fault);
        self.intake.last.set(coded);
        let body = told.map_or(Some(0), |v| std::str::from_utf8(v).ok()?.parse::<u64>().ok());
        let whole = body.filter(|_| !coded && fault.is_none()).and_then(|body| length.checked_add(body));
        Some(whole.unwrap_or(ALL))
    }

    /// Reads until a head is complete, or the client half-closes.
    fn poll_head(&self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let intake = &self.intake;
        while intake.pass.get() == 0 {
            if !intake.held.borrow().is_empty() {
                if let Some(length) = self.look() {
                    intake.request(length);
                    break;
                }
                intake.incomplete();
            }
            let mut part = [0; PART];
            match ready!(self.io.poll_fill(cx, &mut part))? {
                0 => intake.pass.set(ALL),
                n => intake.take(&part[..n], Instant::now()),
            }
        }
        Poll::Ready(Ok(()))
    }

    /// Passes on held bytes, and returns how many.
    fn hand_over(&self, buf: &mut ReadBuf<'_>, most: usize) -> usize {
        let mut held = self.intake.held.borrow_mut();
        let n = most.min(held.len());
        buf.put_slice(&held[..n]);
        held.drain(..n);
        if held.is_empty() {
            // An idle connection holds no buffer.
            *held = Vec::new();
        } else if self.intake.pass.get() == n as u64 {
            self.intake.head_since.set(Some(Instant::now()));
        }
        n
    }
}

impl AsyncRead for RequestFraming {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        ready!(self.poll_head(cx))?;
        let intake = &self.intake;
        let most = buf.remaining().min(usize::try_from(intake.pass.get()).unwrap_or(usize::MAX));
        let n = if intake.held.borrow().is_empty() {
            let n = ready!(self.io.poll_fill(cx, buf.initialize_unfilled_to(most)))?;
            buf.advance(n);
            intake.came(n, Instant::now());
            n
        } else {
            self.hand_over(buf, most)
        };
        intake.handed(n);
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
