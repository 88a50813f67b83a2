//! One line to a connection.

use thiserror::Error;

/// A line holds at most so many bytes, its end included. Danger: a caller that never ends its line would be read for good.
pub const LINE_MOST: usize = 64;

/// What an operator may call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdminCommand {
    /// Whether this process can serve.
    Status,
    /// The figures.
    Metrics,
}

/// Why a line is no call; the text is the answer's.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum CommandError {
    /// Neither STATUS nor METRICS.
    #[error("unknown call; send STATUS or METRICS")]
    Unknown,
    /// No end of line came in time for its length.
    #[error("the line is over {LINE_MOST} bytes; send STATUS or METRICS")]
    Long,
    /// Something other than printable ASCII.
    #[error("the line is not plain text; send STATUS or METRICS")]
    Binary,
    /// Something stands behind the end of the line.
    #[error("one line to a connection; open another for the next call")]
    More,
    /// The caller ended its sending before the line did.
    #[error("the line does not end")]
    Cut,
}

/// What has come of a caller's line so far.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Line {
    /// Not whole yet.
    Partial,
    /// Whole.
    Whole(Result<AdminCommand, CommandError>),
}

impl AdminCommand {
    /// Reads what has come; `ended`: the caller sends nothing more.
    pub fn read(came: &[u8], ended: bool) -> Line {
        let Some(end) = came.iter().position(|b| *b == b'\n') else {
            let plain = came.iter().all(|b| plain(*b) || *b == b'\r');
            return match (plain, came.len() >= LINE_MOST, ended) {
                (false, ..) => Line::Whole(Err(CommandError::Binary)),
                (_, true, _) => Line::Whole(Err(CommandError::Long)),
                (.., true) => Line::Whole(Err(CommandError::Cut)),
                _ => Line::Partial,
            };
        };
        let line = came[..end].strip_suffix(b"\r").unwrap_or(&came[..end]);
        Line::Whole(match line {
            _ if end + 1 < came.len() => Err(CommandError::More),
            _ if end >= LINE_MOST => Err(CommandError::Long),
            line if !line.iter().all(|b| plain(*b)) => Err(CommandError::Binary),
            line => match line.trim_ascii() {
                b"STATUS" => Ok(AdminCommand::Status),
                b"METRICS" => Ok(AdminCommand::Metrics),
                _ => Err(CommandError::Unknown),
            },
        })
    }
}

fn plain(byte: u8) -> bool {
    byte.is_ascii_graphic() || byte == b' '
}
