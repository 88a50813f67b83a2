//! Answers operators on a thread of its own: one line to a connection. It reads the ledger and nothing else of the proxy.

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

/// Callers that are heard at once; one more sends the one away that has waited for longest.
const PLACES: usize = 12;
/// The listener, the runtime's own, and a connection that takes the place of another.
pub const DESCRIPTORS: usize = PLACES + 8;
/// Where the system lacks what a connection needs, accepting goes on after this.
const ACCEPT_AGAIN: Duration = Duration::from_millis(10);
/// A line comes whole within this time.
const LINE_WITHIN: Duration = Duration::from_secs(5);
/// A caller takes its answer within this time, and closes within it.
const TAKE_WITHIN: Duration = Duration::from_secs(1);
/// The thread answers lines and formats a page of text.
const STACK: usize = 256 << 10;

/// The running listener; dropping it ends it.
pub struct AdminListener {
    /// Where it listens.
    pub addr: SocketAddr,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl AdminListener {
    /// Listens for operators.
    ///
    /// # Errors
    /// An address that can't be listened on, or a thread that can't be had, in words that name the setting.
    pub fn start(addr: SocketAddr, ledger: Arc<RequestMetrics>) -> Result<Self, String> {
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
                    // Stopped on purpose or forgotten: both end it.
                    _ = stopped => {}
                    () = accept(listener, ledger) => {}
                }
            });
        };
        let thread = std::thread::Builder::new().name("operators".into()).stack_size(STACK);
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

struct Callers {
    places: ConnectionSlots,
    calls: HashMap<Ticket, AbortHandle>,
}

async fn accept(listener: std::net::TcpListener, ledger: Arc<RequestMetrics>) {
    let listener = match TcpListener::from_std(listener) {
        Ok(listener) => listener,
        Err(e) => return crate::proxy::log(format_args!("operators: {e}")),
    };
    let callers =
        Rc::new(RefCell::new(Callers { places: ConnectionSlots::new(PLACES), calls: HashMap::new() }));
    let mut shortage = Outage::default();
    loop {
        let stream = match accept_one(&listener).await {
            Ok((stream, _)) => stream,
            Err(e) => {
                // Danger: without descriptors accept fails at once, and again, and again.
                if let Some(n) = shortage.failed(&e.to_string()) {
                    crate::proxy::log(format_args!("operators: accept: {e} (failure {n})"));
                }
                sleep(ACCEPT_AGAIN).await;
                continue;
            }
        };
        shortage.over();
        let (mine, gives_way) = callers.borrow_mut().places.come();
        if let Some(call) = gives_way.and_then(|t| callers.borrow_mut().calls.remove(&t)) {
            call.abort();
        }
        let (ledger, leaving) = (ledger.clone(), callers.clone());
        let call = tokio::task::spawn_local(async move {
            answer(stream, &ledger).await;
            let leaving = &mut *leaving.borrow_mut();
            leaving.places.left(mine);
            leaving.calls.remove(&mine);
        });
        callers.borrow_mut().calls.insert(mine, call.abort_handle());
    }
}

/// Answers one call, if one comes.
async fn answer(stream: TcpStream, ledger: &RequestMetrics) {
    let mut stream = RetryStream::new(stream);
    let mut came = Vec::with_capacity(LINE_MOST);
    let line = timeout(LINE_WITHIN, async {
        loop {
            let mut part = [0; LINE_MOST];
            let Ok(n) = stream.read(&mut part).await else { return None };
            came.extend_from_slice(&part[..n]);
            match AdminCommand::read(&came, n == 0) {
                Line::Partial => {}
                // Nothing was asked.
                Line::Whole(_) if came.is_empty() => return None,
                Line::Whole(read) => return Some(read),
            }
        }
    });
    let Ok(Some(read)) = line.await else { return };
    let text = match (read, ledger.standing()) {
        (Err(e), _) => format!("-ERR {e}\n"),
        (Ok(AdminCommand::Metrics), _) => format!("+OK\n{}", figures(ledger)),
        (Ok(AdminCommand::Status), ServingState::Serving) => "+OK serving\n".into(),
        (Ok(AdminCommand::Status), ServingState::Starting) => {
            "-ERR starting: no cache node takes requests yet\n".into()
        }
        (Ok(AdminCommand::Status), ServingState::Draining) => {
            "-ERR draining: this process was told to end\n".into()
        }
    };
    let _ = timeout(TAKE_WITHIN, async {
        if stream.write_all(text.as_bytes()).await.is_err() || stream.shutdown().await.is_err() {
            return;
        }
        // Danger: a connection that is closed with bytes unread is reset, and the answer with it.
        let mut rest = [0; LINE_MOST];
        while stream.read(&mut rest).await.is_ok_and(|n| n > 0) {}
    })
    .await;
}
