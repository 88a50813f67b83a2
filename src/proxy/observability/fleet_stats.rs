//! Statistics of what this proxy does, one line per second to standard error. Disabled unless `PROXY_ACCOUNT` is set; while
//! disabled, a count costs one check of a flag.

use crate::api::Status;
use crate::proxy::http::answer::Answer;
pub use rushquay_fleet_stats::Kind;
use rushquay_fleet_stats::{Account, Sum};
use std::cell::RefCell;
use std::io::Write as _;
use std::path::PathBuf;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Enables the statistics, whatever its value.
const VARIABLE: &str = "PROXY_ACCOUNT";

thread_local! {
    // A proxy runs on one thread.
    static ACCOUNT: RefCell<Option<Account>> = const { RefCell::new(None) };
}

/// Whether statistics are collected.
pub fn is_enabled() -> bool {
    ACCOUNT.with_borrow(Option::is_some)
}

/// Adds to the count of a kind.
pub fn count(kind: Kind, many: u64) {
    ACCOUNT.with_borrow_mut(|a| a.iter_mut().for_each(|a| a.add(kind, many)));
}

/// Counts an attempt by whether another one is in flight (`busy`), by the result of the previous one, and by its destination.
pub fn attempt(busy: bool, last: Option<Status>, origin: bool, cold: bool) {
    let kind = match (last, origin) {
        _ if busy => Kind::Copy,
        (None, true) => Kind::Write,
        (None, false) => Kind::First,
        (Some(Status::Miss), true) => Kind::Fetch,
        (Some(Status::Timeout), true) => Kind::FetchSilent,
        (Some(Status::ConnectFailed), _) => Kind::AgainUnreached,
        _ => Kind::Again,
    };
    count(kind, 1);
    count(Kind::Cold, u64::from(cold));
}

/// Counts the result of an attempt.
pub fn outcome(status: Status) {
    let kind = match status {
        Status::Ok => Kind::Answered,
        Status::Miss => Kind::Missed,
        Status::Full => Kind::Full,
        Status::ConnectFailed => Kind::Unreached,
        Status::Timeout => Kind::Silent,
        _ => Kind::Broken,
    };
    count(kind, 1);
}

/// Counts a final answer other than a served one, by the result of the last attempt.
pub fn unserved(answer: &Answer, last: Option<Status>) {
    let kind = match (answer, last) {
        (Answer::Served(_), _) => return,
        (Answer::Failed | Answer::Overdue, _) => Kind::Failed,
        (_, None) => Kind::RefusedUnsent,
        (_, Some(Status::Miss)) => Kind::RefusedMiss,
        (_, Some(Status::Full)) => Kind::RefusedFull,
        (_, Some(Status::ConnectFailed)) => Kind::RefusedUnreached,
        (_, Some(Status::Timeout)) => Kind::RefusedSilent,
        _ => Kind::RefusedOther,
    };
    count(kind, 1);
}

/// Starts the statistics if the environment enables them.
pub fn start() {
    if std::env::var_os(VARIABLE).is_none() || is_enabled() {
        return;
    }
    ACCOUNT.set(Some(Account::default()));
    tokio::task::spawn_local(async {
        loop {
            tokio::time::sleep(Duration::from_secs(1)).await;
            write();
        }
    });
}

fn write() {
    #[expect(clippy::disallowed_methods, reason = "a line of the log says when it was written")]
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs();
    let Some(account) = ACCOUNT.with_borrow_mut(|a| a.as_mut().map(std::mem::take)) else { return };
    if !account.is_empty() {
        let _ = writeln!(std::io::stderr(), "rushquay: {}", account.line(now));
    }
}

/// Sums the statistics in these logs, as a table.
///
/// # Errors
/// A file cannot be read, or a line is malformed; the text names the file and the line.
pub fn table(logs: &[PathBuf], every: u64) -> Result<String, String> {
    let mut sum = Sum::default();
    for path in logs {
        let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
        for (n, line) in text.lines().enumerate() {
            sum.take(line).map_err(|e| format!("{}:{}: {e}", path.display(), n + 1))?;
        }
    }
    match sum.table(every) {
        empty if empty.is_empty() => {
            Err(format!("no account in these logs; run the proxies with {VARIABLE}=1"))
        }
        table => Ok(table),
    }
}
