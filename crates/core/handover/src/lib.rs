//! A new version of the proxy takes over from an old one while both run: what they say to one another, what each does
//! next, and how they divide what the two may hold together. No I/O and no clock: the adapter carries the messages and the
//! listening socket, and says when time has run out.

mod claimant;
mod form;
mod holder;
mod share;

pub use claimant::{Claimant, Heard, Step, Trouble};
pub use form::{BadMessage, Cold, Known, Offer, ToNew, ToOld, FORMS, MESSAGE_MOST};
pub use holder::{Holder, Peer, Reply};
pub use share::Share;
