//! The descriptor budget that all sockets of the proxy share.

use std::cell::Cell;
use std::rc::Rc;
use tokio::sync::Notify;

/// A counting semaphore of descriptors.
pub struct Descriptors {
    capacity: Cell<usize>,
    taken: Cell<usize>,
    freed: Notify,
}

impl Descriptors {
    pub fn new(most: usize) -> Rc<Self> {
        Rc::new(Descriptors { capacity: Cell::new(most), taken: Cell::new(0), freed: Notify::new() })
    }

    /// Returns the size of the budget.
    pub fn most(&self) -> usize {
        self.capacity.get()
    }

    /// Returns the number of descriptors in use; it can exceed the budget for a while after that was reduced.
    pub fn taken(&self) -> usize {
        self.taken.get()
    }

    /// Changes the size of the budget.
    pub fn resize(&self, most: usize) {
        self.capacity.set(most);
        self.freed.notify_one();
    }

    /// Takes a descriptor if one is free.
    pub fn take(self: &Rc<Self>) -> Option<Permit> {
        if self.taken.get() >= self.capacity.get() {
            return None;
        }
        self.taken.set(self.taken.get() + 1);
        Some(Permit(self.clone()))
    }

    /// Waits until a descriptor is returned or the budget changes.
    pub async fn freed(&self) {
        self.freed.notified().await;
    }
}

/// A descriptor taken from the budget; returned when this is dropped.
pub struct Permit(Rc<Descriptors>);

impl Drop for Permit {
    fn drop(&mut self) {
        self.0.taken.set(self.0.taken.get() - 1);
        self.0.freed.notify_one();
    }
}
