//! What operators call and read: how a call is read, which of the waiting callers gives way, the ledger that each request
//! and attempt passes through once, and the text of the figures. No I/O and no clock: time is passed in.

mod call;
mod causes;
mod figures;
mod ledger;
mod tally;
mod waiting;

pub use call::{Call, Line, NotACall, LINE_MOST};
pub use causes::{Cause, NodeCloseCause, TurnedAway};
pub use figures::figures;
pub use ledger::{Count, End, Entry, Ledger, Standing};
pub use tally::Tally;
pub use waiting::{Places, Ticket};
