//! A node that answers each request as its path says: with a body of some length and framing, at some pace.

use crate::rig::{Peer, RequestHead, Server};
pub use rushquay_stream_progress::Framing;
use socket2::SockRef;
use std::collections::HashMap;
use std::io::Write;
use std::net::{Shutdown, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// How a body ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    Whole,
    /// The connection is reset behind the last byte that is given.
    Reset,
    /// Nothing more comes, on a connection that stays open.
    Silence,
}

/// One answer.
#[derive(Clone, Copy, Debug)]
pub struct AnswerPlan {
    pub status: &'static str,
    pub framing: Framing,
    pub length: usize,
    /// Bytes of a second.
    pub rate: usize,
    /// Time between two pieces.
    pub interval: Duration,
    /// Time between the first byte of the body, which comes at once, and the pieces; `None`: they come at once.
    pub first_gap: Option<Duration>,
    pub ending: Ending,
    /// Caches lack it, and the origin gives it.
    pub is_missed: bool,
}

impl AnswerPlan {
    /// A body that comes in a steady flow.
    pub fn steady(framing: Framing, length: usize, rate: usize) -> Self {
        AnswerPlan {
            status: "200 OK",
            framing,
            length,
            rate,
            interval: Duration::from_millis(10),
            first_gap: None,
            ending: Ending::Whole,
            is_missed: false,
        }
    }

    /// A body that comes in lumps.
    pub fn in_lumps(framing: Framing, length: usize, rate: usize, interval: Duration) -> Self {
        AnswerPlan { interval, ..Self::steady(framing, length, rate) }
    }

    pub fn with_first_gap(self, gap: Duration) -> Self {
        AnswerPlan { first_gap: Some(gap), ..self }
    }

    pub fn ending(self, ending: Ending) -> Self {
        AnswerPlan { ending, ..self }
    }

    pub fn missed(self, is_missed: bool) -> Self {
        AnswerPlan { is_missed, ..self }
    }

    pub fn with_status(self, status: &'static str) -> Self {
        AnswerPlan { status, ..self }
    }

    fn head(&self) -> String {
        let framing = match self.framing {
            Framing::Length => format!("Content-Length: {}\r\n", self.length),
            Framing::Chunked => "Transfer-Encoding: chunked\r\n".into(),
            Framing::Close => "Connection: close\r\n".into(),
        };
        format!("HTTP/1.1 {}\r\nX-Lookup: hit\r\n{framing}\r\n", self.status)
    }

    fn give(&self, stream: &mut TcpStream) -> Option<()> {
        stream.write_all(self.head().as_bytes()).ok()?;
        let mut left = self.length;
        if let Some(gap) = self.first_gap {
            self.give_piece(stream, 1)?;
            left -= 1;
            std::thread::sleep(gap);
        }
        let piece = (self.rate as f64 * self.interval.as_secs_f64()) as usize;
        while left > 0 {
            let given = piece.min(left);
            self.give_piece(stream, given)?;
            left -= given;
            if left > 0 {
                std::thread::sleep(self.interval);
            }
        }
        match self.ending {
            Ending::Whole if self.framing == Framing::Chunked => stream.write_all(b"0\r\n\r\n").ok()?,
            Ending::Whole if self.framing == Framing::Close => stream.shutdown(Shutdown::Write).ok()?,
            Ending::Whole => {}
            Ending::Reset => SockRef::from(&*stream).set_linger(Some(Duration::ZERO)).expect("set"),
            Ending::Silence => std::thread::sleep(crate::rig::LONG),
        }
        (self.ending == Ending::Whole && self.framing != Framing::Close).then_some(())
    }

    fn give_piece(&self, stream: &mut TcpStream, length: usize) -> Option<()> {
        let data = vec![b'x'; length];
        let piece = match self.framing {
            Framing::Chunked => [format!("{length:x}\r\n").as_bytes(), &data, b"\r\n"].concat(),
            Framing::Length | Framing::Close => data,
        };
        stream.write_all(&piece).ok()
    }
}

/// The answers that are given, by the last part of a request's path, and how many requests came for each.
#[derive(Clone, Default)]
pub struct Plans {
    plans: Arc<Mutex<Vec<AnswerPlan>>>,
    attempts: Arc<Mutex<HashMap<usize, usize>>>,
}

impl Plans {
    /// Adds a plan; returns its number.
    pub fn add(&self, plan: AnswerPlan) -> usize {
        let mut plans = self.plans.lock().expect("plans");
        plans.push(plan);
        plans.len() - 1
    }

    /// Returns how many requests have come for this plan, at all nodes together.
    pub fn attempts(&self, number: usize) -> usize {
        self.attempts.lock().expect("attempts").get(&number).copied().unwrap_or(0)
    }

    /// Answers the requests that come to a cache.
    pub fn serve_as_cache(&self, node: Server) {
        self.serve(node, true);
    }

    /// Answers the requests that come to the origin.
    pub fn serve_as_origin(&self, node: Server) {
        self.serve(node, false);
    }

    fn serve(&self, node: Server, is_cache: bool) {
        let plans = self.clone();
        std::thread::spawn(move || {
            for stream in node.taken {
                // Held back by the system, small pieces would come 40 ms apart.
                stream.set_nodelay(true).expect("set");
                let (peer, plans) = (Peer::new(stream), plans.clone());
                std::thread::spawn(move || plans.serve_connection(peer, is_cache));
            }
        });
    }

    fn serve_connection(&self, mut node: Peer, is_cache: bool) -> Option<()> {
        loop {
            let RequestHead { path, length, is_chunked, .. } = node.read_head()?;
            if length.is_some() || is_chunked {
                node.read_body(length)?;
            }
            let number: usize = path.rsplit('/').next()?.parse().ok()?;
            let plan: AnswerPlan = *self.plans.lock().expect("plans").get(number)?;
            if plan.is_missed && is_cache {
                node.reply("404 Not Found", "X-Lookup: miss\r\n", "");
                continue;
            }
            *self.attempts.lock().expect("attempts").entry(number).or_default() += 1;
            plan.give(node.0.get_mut())?;
        }
    }
}
