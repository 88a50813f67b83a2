//! What operators call and read: how a call is read, which of the waiting callers gives way, the ledger that each request
//! and attempt passes through once, and the text of the figures. No I/O and no clock: time is passed in.

mod call;
mod figures;
mod ledger;
mod waiting;

pub use call::{Call, Line, NotACall, LINE_MOST};
pub use figures::figures;
pub use ledger::{Count, End, Entry, Ledger, Standing};
pub use waiting::{Places, Ticket};
