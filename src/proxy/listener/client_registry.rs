//! The client connections that are being served.

use crate::proxy::listener::admission::ClientRole;
use crate::proxy::listener::client_connection::Client;
use std::cell::{Ref, RefCell};
use std::rc::Rc;
use tokio::sync::Notify;

/// The client connections that are being served, each for as long as its [`Registration`] lives.
#[derive(Default)]
pub struct ClientRegistry {
    clients: RefCell<Vec<Rc<Client>>>,
    /// Notified when a connection is no longer served.
    left: Notify,
}

impl ClientRegistry {
    /// Registers a connection until the returned value is dropped.
    pub fn register(self: &Rc<Self>, client: Rc<Client>) -> Registration {
        self.clients.borrow_mut().push(client.clone());
        Registration { registry: self.clone(), client }
    }

    /// Returns the connections that are being served, in the order in which they were accepted.
    pub fn borrow(&self) -> Ref<'_, Vec<Rc<Client>>> {
        self.clients.borrow()
    }

    /// Returns the number of connections with this role.
    pub fn count(&self, role: ClientRole) -> usize {
        self.clients.borrow().iter().filter(|client| client.role == role).count()
    }

    /// Waits until a connection is no longer served.
    pub async fn left(&self) {
        self.left.notified().await;
    }
}

/// A connection that is being served. Danger: a task can end at any of its awaits, by a panic too. A connection that stayed registered
/// would hold its slot and its descriptor for as long as the process runs.
pub struct Registration {
    registry: Rc<ClientRegistry>,
    client: Rc<Client>,
}

impl Registration {
    /// Returns the connection.
    pub fn client(&self) -> &Rc<Client> {
        &self.client
    }
}

impl Drop for Registration {
    fn drop(&mut self) {
        self.registry.clients.borrow_mut().retain(|client| !Rc::ptr_eq(client, &self.client));
        self.registry.left.notify_one();
    }
}

#[cfg(test)]
mod tests;
