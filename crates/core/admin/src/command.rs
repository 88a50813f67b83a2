//! Parses admin commands: one line per connection.

use thiserror::Error;

/// Maximum length of a command line in bytes, line end included. Danger: without a limit, a client that never ends its line
/// would be read forever.
pub const LINE_MOST: usize = 64;

/// A command that an operator may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdminCommand {
    /// Report whether this process can serve.
    Status,
    /// Report the metrics.
    Metrics,
}

/// Why a line is not a valid command. The `Display` text is sent to the client as the answer.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum CommandError {
    /// The command is neither STATUS nor METRICS.
    #[error("unknown call; send STATUS or METRICS")]
    Unknown,
    /// The line exceeds [`LINE_MOST`].
    #[error("the line is over {LINE_MOST} bytes; send STATUS or METRICS")]
    Long,
    /// The line contains bytes other than printable ASCII.
    #[error("the line is not plain text; send STATUS or METRICS")]
    Binary,
    /// Further bytes follow the end of the line.
    #[error("one line to a connection; open another for the next call")]
    More,
    /// The client stopped sending before the end of the line.
    #[error("the line does not end")]
    Cut,
}

/// Parse state of a client's line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Line {
    /// The line is still incomplete.
    Partial,
    /// The line is decided: a command, or the reason why it is not one.
    Whole(Result<AdminCommand, CommandError>),
}

impl AdminCommand {
    /// Parses the bytes received so far; `ended` says that the client sends nothing more.
    pub fn read(received: &[u8], ended: bool) -> Line {
        let Some(end) = received.iter().position(|byte| *byte == b'\n') else {
            let printable = received.iter().all(|byte| is_printable(*byte) || *byte == b'\r');
            return match (printable, received.len() >= LINE_MOST, ended) {
                (false, ..) => Line::Whole(Err(CommandError::Binary)),
                (_, true, _) => Line::Whole(Err(CommandError::Long)),
                (.., true) => Line::Whole(Err(CommandError::Cut)),
                _ => Line::Partial,
            };
        };
        let line = received[..end].strip_suffix(b"\r").unwrap_or(&received[..end]);
        Line::Whole(match line {
            _ if end + 1 < received.len() => Err(CommandError::More),
            _ if end >= LINE_MOST => Err(CommandError::Long),
            line if !line.iter().all(|byte| is_printable(*byte)) => Err(CommandError::Binary),
            line => match line.trim_ascii() {
                b"STATUS" => Ok(AdminCommand::Status),
                b"METRICS" => Ok(AdminCommand::Metrics),
                _ => Err(CommandError::Unknown),
            },
        })
    }
}

fn is_printable(byte: u8) -> bool {
    byte.is_ascii_graphic() || byte == b' '
}
