//! The admin listener for operators: a separate thread that answers one command line per connection. Of the proxy it reads only the
//! request metrics.

use crate::proxy::tasks::{catch_panic, record_panic};
use rushquay_admin::{
    figures, AdminCommand, ConnectionSlots, Line, RequestMetrics, ServingState, Ticket, LINE_MOST,
};
use rushquay_sockets::{accept as accept_one, patiently, RetryStream};
use rushquay_xds::client::Outage;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot;
use tokio::task::AbortHandle;
use tokio::time::{sleep, timeout};

/// The maximum number of open connections; a further one evicts the oldest.
const MAX_CONNECTIONS: usize = 12;
/// The maximum number of descriptors: the connections, the listener, those of the runtime, and a connection that evicts another.
pub const DESCRIPTORS: usize = MAX_CONNECTIONS + 8;
/// The delay after a failed `accept`, for example when the system is out of descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);
/// The timeout for receiving a whole line.
const READ_TIMEOUT: Duration = Duration::from_secs(5);
/// The timeout for a client to receive the answer and close the connection.
const WRITE_TIMEOUT: Duration = Duration::from_secs(1);
/// A small stack suffices: the thread only answers lines and formats a page of text.
const STACK_BYTES: usize = 256 << 10;

/// The running listener; dropping it stops the listener.
pub struct AdminListener {
    /// The address that it listens on.
    pub addr: SocketAddr,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl AdminListener {
    /// Starts the listener.
    ///
    /// # Errors
    /// The address cannot be bound or the thread cannot be started; the text names the setting.
    pub fn start(addr: SocketAddr, metrics: Arc<RequestMetrics>) -> Result<Self, String> {
        let failed = |e: std::io::Error| format!("PROXY_ADMIN_ADDR (admin_addr): {addr}: {e}");
        let listener = patiently(|| std::net::TcpListener::bind(addr)).map_err(failed)?;
        listener.set_nonblocking(true).map_err(failed)?;
        let addr = listener.local_addr().map_err(failed)?;
        let runtime = tokio::runtime::Builder::new_current_thread().enable_io().enable_time().build();
        let runtime = runtime.map_err(failed)?;
        let (stop, stopped) = oneshot::channel();
        let serve = move || {
            let local = tokio::task::LocalSet::new();
            local.block_on(&runtime, async {
                tokio::select! {
                    biased;
                    // Completes on a stop as well as when the sender is dropped.
                    _ = stopped => {}
                    () = accept(listener, metrics) => {}
                }
            });
        };
        let thread = std::thread::Builder::new().name("operators".into()).stack_size(STACK_BYTES);
        let thread = thread.spawn(serve).map_err(failed)?;
        Ok(AdminListener { addr, stop: Some(stop), thread: Some(thread) })
    }
}

impl Drop for AdminListener {
    fn drop(&mut self) {
        drop(self.stop.take());
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// The open connections, with the tasks that serve them.
struct OpenConnections {
    slots: ConnectionSlots,
    tasks: HashMap<Ticket, AbortHandle>,
}

async fn accept(listener: std::net::TcpListener, metrics: Arc<RequestMetrics>) {
    let listener = match TcpListener::from_std(listener) {
        Ok(listener) => listener,
        Err(e) => return crate::proxy::log(format_args!("operators: {e}")),
    };
    let connections = Rc::new(RefCell::new(OpenConnections {
        slots: ConnectionSlots::new(MAX_CONNECTIONS),
        tasks: HashMap::new(),
    }));
    let mut accept_outage = Outage::default();
    loop {
        let stream = match accept_one(&listener).await {
            Ok((stream, _)) => stream,
            Err(e) => {
                // Danger: without free descriptors `accept` fails immediately each time, which would be a busy loop.
                if let Some(n) = accept_outage.failed(&e.to_string()) {
                    crate::proxy::log(format_args!("operators: accept: {e} (failure {n})"));
                }
                sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        accept_outage.over();
        let (ticket, evicted) = connections.borrow_mut().slots.come();
        if let Some(task) = evicted.and_then(|t| connections.borrow_mut().tasks.remove(&t)) {
            task.abort();
        }
        let (metrics, open) = (metrics.clone(), connections.clone());
        let task = tokio::task::spawn_local(async move {
            if let Err(panic) = catch_panic(answer(stream, &metrics)).await {
                record_panic(&metrics, "a connection to the operators' address", &panic);
            }
            let open = &mut *open.borrow_mut();
            open.slots.left(ticket);
            open.tasks.remove(&ticket);
        });
        connections.borrow_mut().tasks.insert(ticket, task.abort_handle());
    }
}

/// Reads one command, if any is sent, and answers it.
async fn answer(stream: TcpStream, metrics: &RequestMetrics) {
    let mut stream = RetryStream::new(stream);
    let mut received = Vec::with_capacity(LINE_MOST);
    let line = timeout(READ_TIMEOUT, async {
        loop {
            let mut chunk = [0; LINE_MOST];
            let Ok(n) = stream.read(&mut chunk).await else { return None };
            received.extend_from_slice(&chunk[..n]);
            match AdminCommand::read(&received, n == 0) {
                Line::Partial => {}
                // The client closed the connection without sending a command.
                Line::Whole(_) if received.is_empty() => return None,
                Line::Whole(read) => return Some(read),
            }
        }
    });
    let Ok(Some(read)) = line.await else { return };
    let text = match (read, metrics.standing()) {
        (Err(e), _) => format!("-ERR {e}\n"),
        (Ok(AdminCommand::Metrics), _) => format!("+OK\n{}", figures(metrics)),
        (Ok(AdminCommand::Status), ServingState::Serving) => "+OK serving\n".into(),
        (Ok(AdminCommand::Status), ServingState::Starting) => {
            "-ERR starting: no cache node takes requests yet\n".into()
        }
        (Ok(AdminCommand::Status), ServingState::Draining) => {
            "-ERR draining: this process was told to end\n".into()
        }
    };
    let _ = timeout(WRITE_TIMEOUT, async {
        if stream.write_all(text.as_bytes()).await.is_err() || stream.shutdown().await.is_err() {
            return;
        }
        // Danger: closing a connection with unread bytes resets it, and the client may lose the answer.
        let mut rest = [0; LINE_MOST];
        while stream.read(&mut rest).await.is_ok_and(|n| n > 0) {}
    })
    .await;
}
