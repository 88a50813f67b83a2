//! A new version takes over from an old one under load: real processes, killed and stopped at each step.

mod rig;

use rig::*;
use rushquay_handover::{IncumbentMessage, SuccessorMessage};
use rushquay_history::{Answer, Effect, Entry, History, Tolerance, MILLI};
use rustix::net::{recvmsg, RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags};
use serde_json::{json, Value};
use std::io::{IoSliceMut, Read, Write};
use std::mem::MaybeUninit;
use std::net::{SocketAddr, TcpListener};
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// A place of its own for a proxy and those that come after it.
struct Place {
    dir: PathBuf,
    listen: SocketAddr,
    discovery: Server,
}

impl Place {
    fn new() -> Self {
        static NUMBER: AtomicU64 = AtomicU64::new(0);
        let number = NUMBER.fetch_add(1, Ordering::Relaxed);
        let dir = std::env::temp_dir().join(format!("rq-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&dir).expect("a directory");
        // An address that no other test uses. Danger: a port that was tried out first is for a moment also held by whatever
        // program another test is just starting.
        let pid = std::process::id();
        let listen = SocketAddr::from(([127, 1 + (pid >> 8) as u8 % 254, pid as u8, 1 + number as u8], 3000));
        Place { dir, listen, discovery: Server::new() }
    }

    fn meeting(&self) -> PathBuf {
        self.dir.join(format!("rushquay-{}-{}", self.listen.ip(), self.listen.port()))
    }

    fn config(&self, servers: &[Value]) -> Value {
        let mut config = config(self.discovery.addr, servers);
        config["listen"] = json!(self.listen.to_string());
        config["admin_addr"] = json!("127.0.0.1:0");
        config["limits"]["sockets"] = json!(512);
        for class in config["settings"]["categories"].as_array_mut().expect("classes") {
            class["deadline_ns"] = json!(2_000_000_000u64);
            class["promise_ns"] = json!(1_000_000_000u64);
            class["dedup_window_ns"] = json!(2_000_000_000u64);
        }
        config
    }

    fn start(&self, servers: &[Value]) -> Proxy {
        Proxy::with(&self.config(servers), &[("TMPDIR", self.dir.to_str().expect("a path"))])
    }

    /// Says hello as a new process would; returns the offer, and the connection that holds it.
    fn hello(&self) -> (IncumbentMessage, UnixStream) {
        let mut stream = UnixStream::connect(self.meeting()).expect("somebody there");
        stream.set_read_timeout(Some(LONG)).expect("time-out");
        stream.write_all(&SuccessorMessage::Hello { forms: vec![1] }.bytes()).expect("written");
        let mut head = [0; 4];
        stream.read_exact(&mut head).expect("a length");
        let mut body = vec![0; IncumbentMessage::length(head).expect("a length")];
        stream.read_exact(&mut body).expect("a message");
        (IncumbentMessage::read(&body).expect("a message"), stream)
    }

    /// Says hello and takes the listening socket, as a new process would.
    fn handed(&self) -> TcpListener {
        let mut stream = UnixStream::connect(self.meeting()).expect("somebody there");
        stream.set_read_timeout(Some(LONG)).expect("time-out");
        stream.write_all(&SuccessorMessage::Hello { forms: vec![1] }.bytes()).expect("written");
        let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
        let mut control = RecvAncillaryBuffer::new(&mut space);
        let mut head = [0; 4];
        recvmsg(&stream, &mut [IoSliceMut::new(&mut head)], &mut control, RecvFlags::empty()).expect("read");
        let fd = control.drain().find_map(|m| match m {
            RecvAncillaryMessage::ScmRights(mut fds) => fds.next(),
            _ => None,
        });
        // It stays as the old process set it, which shares it: it does not block.
        TcpListener::from(fd.expect("a descriptor"))
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

/// What all sides saw.
#[derive(Clone)]
struct Seen {
    books: Arc<Mutex<History>>,
    start: Instant,
}

impl Seen {
    fn new() -> Self {
        Seen { books: Arc::default(), start: Instant::now() }
    }

    fn enter(&self, entry: Entry) {
        let at = self.start.elapsed().as_nanos() as u64;
        self.books.lock().expect("whole").record(at, entry);
    }
}

/// A node that answers each request with its name.
fn node(name: &'static str, seen: &Seen) -> SocketAddr {
    let server = Server::new();
    let addr = server.addr;
    let seen = seen.clone();
    std::thread::spawn(move || {
        while let Ok(stream) = server.taken.recv() {
            let seen = seen.clone();
            std::thread::spawn(move || {
                stream.set_nodelay(true).expect("set");
                let mut peer = Peer(std::io::BufReader::new(stream));
                while let Some(request) = peer.read() {
                    let id = request.header("x-correlation-id").expect("an id").to_owned();
                    seen.enter(Entry::Sent { id: id.clone(), node: name.into() });
                    seen.enter(Entry::Ran { id, node: name.into() });
                    std::thread::sleep(Duration::from_millis(5));
                    peer.reply("200 OK", "X-Lookup: hit\r\n", name);
                }
            });
        }
    });
    addr
}

/// Clients that ask one request after another, on a new connection each time or on one that they keep.
struct Clients {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<u64>>,
}

impl Clients {
    fn start(proxy: SocketAddr, seen: &Seen) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let thread = |n: usize| {
            let (stop, seen) = (stop.clone(), seen.clone());
            std::thread::spawn(move || ask(proxy, n, &stop, &seen))
        };
        Clients { threads: (0..12).map(thread).collect(), stop }
    }

    /// How many requests ended at the door.
    fn stop(self) -> u64 {
        self.stop.store(true, Ordering::Relaxed);
        self.threads.into_iter().map(|t| t.join().expect("a client")).sum()
    }
}

fn ask(proxy: SocketAddr, client: usize, stop: &AtomicBool, seen: &Seen) -> u64 {
    let (mut kept, mut door): (Option<Peer>, u64) = (None, 0);
    for number in 0.. {
        if stop.load(Ordering::Relaxed) {
            break;
        }
        let id = format!("c{client}-{number}");
        let (class, effect) =
            if client % 3 == 2 { ("order", Effect::Unsafe) } else { ("read", Effect::Safe) };
        let text = get_as(&id, class, "X-Time-Left: 2.0\r\n");
        let mut peer = kept.take().unwrap_or_else(|| Peer::to(proxy));
        peer.0.get_ref().set_nodelay(true).expect("set");
        seen.enter(Entry::Asked { id: id.clone(), effect, within: 2000 * MILLI });
        let written = peer.0.get_mut().write_all(text.as_bytes()).is_ok();
        let answer = if written { answer(&mut peer) } else { None };
        let Some(answer) = answer else {
            door += 1;
            continue;
        };
        let by = String::from_utf8(answer.body.clone()).expect("a name");
        let (answered, by) = match answer.status() {
            200 => (Answer::Served, Some(by)),
            429 | 503 => (Answer::Refused, None),
            _ => (Answer::Failed, None),
        };
        seen.enter(Entry::Final { id, answer: answered, by });
        if client.is_multiple_of(2) && answer.header("connection") != Some("close") {
            kept = Some(peer);
        }
    }
    door
}

/// The next final answer; `None` where the connection ends without.
fn answer(peer: &mut Peer) -> Option<Message> {
    loop {
        let message = peer.read()?;
        if message.status() >= 200 {
            return Some(message);
        }
    }
}

const TOLERANCE: Tolerance = Tolerance { late: 1000 * MILLI, drain: 2000 * MILLI, crossing: 200 * MILLI };

/// Two upgrades in a row, the second soon after the first.
#[test]
fn under_load_nothing_ends_at_the_door_and_no_rule_breaks() {
    let (place, seen) = (Place::new(), Seen::new());
    let servers = [
        member("c1", node("c1", &seen), "std", "ready"),
        member("c2", node("c2", &seen), "std", "ready"),
        member("o1", node("o1", &seen), "origin", "ready"),
    ];
    let mut old = place.start(&servers);
    old.yes();
    let clients = Clients::start(place.listen, &seen);
    for _ in 0..2 {
        std::thread::sleep(Duration::from_millis(300));
        let mut new = place.start(&servers);
        new.yes();
        old.signal("-TERM");
        std::thread::sleep(Duration::from_millis(300));
        assert!(old.child.wait().expect("ended").success());
        old = new;
    }
    std::thread::sleep(Duration::from_millis(300));
    assert_eq!(clients.stop(), 0, "requests at the door");
    let books = seen.books.lock().expect("whole");
    assert_eq!(books.audit(TOLERANCE), []);
    let (asked, [served, ..]) = books.counts();
    assert!(asked > 100 && served * 10 > asked * 9, "{served} of {asked} served");
}

/// The old process is killed outright once the new one serves: what it had taken is the client's to repeat, and nothing else
/// is lost.
#[test]
fn the_new_one_goes_on_when_the_old_one_is_killed_at_any_step() {
    for step in ["before the yes", "after the yes", "while it drains"] {
        let (place, seen) = (Place::new(), Seen::new());
        let servers = [member("c1", node("c1", &seen), "std", "ready")];
        let mut old = place.start(&servers);
        old.yes();
        if step == "before the yes" {
            old.child.kill().expect("killed");
            old.child.wait().expect("ended");
        }
        // A path that a dead process left is there now.
        assert!(place.meeting().exists());
        let mut new = place.start(&servers);
        new.yes();
        if step == "while it drains" {
            old.signal("-TERM");
        }
        let _ = old.child.kill();
        let _ = old.child.wait();
        let mut client = new.client();
        client.ask("read", "");
        assert_eq!(client.answer().status(), 200, "{step}");
    }
}

#[test]
fn a_new_process_that_dies_before_its_yes_leaves_all_as_it_was() {
    let (place, seen) = (Place::new(), Seen::new());
    let servers = [member("c1", node("c1", &seen), "std", "ready")];
    let mut old = place.start(&servers);
    old.yes();
    let (offer, held) = place.hello();
    let IncumbentMessage::Offer { sockets, memory, list, .. } = offer else { panic!("no offer") };
    assert_eq!((sockets, memory), (256, 96 << 20), "half of the limits");
    assert_eq!(list["servers"][0]["id"], "c1");
    // Meanwhile nobody else is offered anything.
    assert_eq!(place.hello().0, IncumbentMessage::Busy);
    drop(held);
    let mut client = old.client();
    client.ask("read", "");
    assert_eq!(client.answer().status(), 200);
    // And the next one takes over.
    let mut new = place.start(&servers);
    new.yes();
    old.logged("a new process serves");
    old.signal("-TERM");
    assert!(old.child.wait().expect("ended").success());
    client = new.client();
    client.ask("read", "");
    assert_eq!(client.answer().status(), 200);
}

#[test]
fn of_two_new_processes_at_once_the_second_waits() {
    let (place, seen) = (Place::new(), Seen::new());
    let servers = [member("c1", node("c1", &seen), "std", "ready")];
    let mut old = place.start(&servers);
    old.yes();
    let (_, first) = place.hello();
    let (child, file) =
        start_with(&place.config(&servers).to_string(), &[("TMPDIR", place.dir.to_str().expect("a path"))]);
    let out = child.wait_with_output().expect("ended");
    let log = String::from_utf8_lossy(&out.stderr).into_owned();
    assert!(!out.status.success() && log.contains("another new version is coming up"), "{log}");
    std::fs::remove_file(file).expect("removed");
    drop(first);
    let mut second = place.start(&servers);
    second.yes();
}

/// Danger: an old process that is half dead accepts at the meeting place and says nothing, for good.
#[test]
fn an_old_process_that_says_nothing_or_nonsense_is_passed_by() {
    let answers: [&[u8]; 4] = [b"", b"HTTP/1.1 200 OK\r\n\r\n", &[255; 64], &[0, 0, 0, 2, b'{', b'}']];
    for answer in answers {
        let (place, seen) = (Place::new(), Seen::new());
        let there = UnixListener::bind(place.meeting()).expect("bound");
        let answers = std::thread::spawn(move || {
            let (mut peer, _) = there.accept().expect("accepted");
            peer.write_all(answer).expect("written");
            // Until the other side gives it up.
            while peer.read(&mut [0; 64]).is_ok_and(|n| n > 0) {}
        });
        let mut new = place.start(&[member("c1", node("c1", &seen), "std", "ready")]);
        new.yes();
        let mut client = new.client();
        client.ask("read", "");
        assert_eq!(client.answer().status(), 200);
        answers.join().expect("ended");
    }
}

#[test]
fn an_old_process_of_another_version_shares_the_address() {
    let (place, seen) = (Place::new(), Seen::new());
    let servers = [member("c1", node("c1", &seen), "std", "ready")];
    // No directory in common, as where Unix sockets are refused: each has a queue of its own.
    let mut old = Proxy::with(&place.config(&servers), &[]);
    old.yes();
    let there = UnixListener::bind(place.meeting()).expect("bound");
    let other = std::thread::spawn(move || {
        let (mut peer, _) = there.accept().expect("accepted");
        peer.write_all(&IncumbentMessage::Unknown { forms: vec![7] }.bytes()).expect("written");
        while peer.read(&mut [0; 64]).is_ok_and(|n| n > 0) {}
    });
    let mut new = place.start(&servers);
    new.yes();
    other.join().expect("ended");
    old.signal("-TERM");
    assert!(old.child.wait().expect("ended").success());
    for _ in 0..20 {
        let mut client = new.client();
        client.ask("read", "");
        assert_eq!(client.answer().status(), 200);
    }
}

/// Danger: SIGTERM may come before the new one has said yes; what waits in the queue is the new one's then.
#[test]
fn what_waits_at_the_door_outlives_an_old_process_that_ends_early() {
    let (place, seen) = (Place::new(), Seen::new());
    let servers = [member("c1", node("c1", &seen), "std", "ready")];
    let mut old = place.start(&servers);
    old.yes();
    let listener = place.handed();
    let mut early = Peer::to(place.listen);
    early.ask("read", "");
    old.signal("-TERM");
    assert!(old.child.wait().expect("ended").success());
    // Whichever of the two took the first, this one is for the process that holds the socket now.
    let mut late = Peer::to(place.listen);
    late.ask("read", "X-Waits: yes\r\n");
    let came = (0..1000).find_map(|_| match listener.accept() {
        Ok((stream, _)) => {
            stream.set_nonblocking(false).expect("set");
            Peer::new(stream).request().header("x-waits").map(str::to_owned)
        }
        Err(_) => {
            std::thread::sleep(Duration::from_millis(10));
            None
        }
    });
    assert_eq!(came.as_deref(), Some("yes"));
}

#[test]
fn an_address_that_nobody_shares_is_named() {
    let (place, seen) = (Place::new(), Seen::new());
    let taken = TcpListener::bind(place.listen).expect("bound");
    let servers = [member("c1", node("c1", &seen), "std", "ready")];
    let (child, file) = start(&place.config(&servers).to_string());
    let out = child.wait_with_output().expect("ended");
    let log = String::from_utf8_lossy(&out.stderr).into_owned();
    assert!(!out.status.success() && log.contains("PROXY_LISTEN") && log.contains("end it first"), "{log}");
    std::fs::remove_file(file).expect("removed");
    drop(taken);
}

/// A node that has just started, and six versions one after another while it is cold: together they send it what one process might
/// have. What an old process tells is told once, also to one that dies before its yes.
#[test]
fn what_a_cold_node_may_still_be_sent_goes_from_process_to_process() {
    let (place, seen) = (Place::new(), Seen::new());
    let mut cold = member("c1", node("c1", &seen), "std", "ready");
    #[expect(clippy::disallowed_methods, reason = "the endpoint list dates starts by Unix time")]
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).expect("after it");
    cold["started_ms"] = json!(now.as_secs_f64() * 1e3);
    let mut servers = vec![cold];
    servers.extend((2..6).map(|n| {
        let name: &'static str = format!("c{n}").leak();
        member(name, node(name, &seen), "std", "ready")
    }));
    let mut config = place.config(&servers);
    // Warm in five minutes, from next to nothing: what it earns in this test is less than one request.
    config["settings"]["rules"]["cold_from"] = json!(0.001);
    config["settings"]["rules"]["cold_ns"] = json!(300_000_000_000u64);
    let start = || Proxy::with(&config, &[("TMPDIR", place.dir.to_str().expect("a path"))]);
    let mut old = start();
    old.yes();
    let left = || {
        let (IncumbentMessage::Offer { cold, .. }, _) = place.hello() else { panic!("no offer") };
        assert_eq!(cold.len(), 1, "one node is cold");
        cold[0].left
    };
    let first = left();
    assert!(first > 0.2, "a process that starts has some by chance, from its seed: {first}");
    // The one that heard it has died.
    let begin = Instant::now();
    while left() > 0.2 {
        assert!(begin.elapsed() < LONG, "the old process gave it away and has it still");
    }
    for _ in 0..6 {
        let mut new = start();
        new.yes();
        let mut client = new.client();
        for n in 0..40 {
            let text = get_as(&format!("u{n}"), "read", "");
            client.write(&text.replace("7f3a9c21e0b4d655", &format!("key-{n}")));
            assert_eq!(client.answer().status(), 200);
        }
        old.signal("-TERM");
        assert!(old.child.wait().expect("ended").success());
        old = new;
    }
    let (IncumbentMessage::Offer { cold, .. }, _) = place.hello() else { panic!("no offer") };
    assert!(cold[0].left < 0.2, "{cold:?}");
}

/// An old process with a request out, and a new one that serves in its place.
struct Succession {
    _place: Place,
    cache: Server,
    old: Proxy,
    new: Proxy,
    /// The client whose request is out.
    first: Peer,
    /// The node that has it.
    node: Peer,
}

impl Succession {
    fn with_a_request_out() -> Self {
        let (place, cache) = (Place::new(), Server::new());
        let servers = [member("c1", cache.addr, "std", "ready")];
        let mut old = place.start(&servers);
        old.yes();
        let mut first = old.client();
        first.ask("order", "");
        let mut node = cache.take();
        node.request();
        let mut new = place.start(&servers);
        new.yes();
        old.logged("a new process serves");
        Succession { _place: place, cache, old, new, first, node }
    }
}

/// Danger: an old process that ends would take connections from the door that the new one has, and close those that say nothing yet.
#[test]
fn an_old_process_leaves_what_waits_at_a_shared_door_to_the_new_one() {
    let Succession { _place, cache, mut old, new, mut first, mut node } = Succession::with_a_request_out();
    new.halt();
    old.signal("-TERM");
    old.logged("draining");
    // It waits at the door while the old process has a request to answer, and asks nothing yet.
    let mut waiting = new.client();
    node.reply("200 OK", "X-Lookup: hit\r\n", "");
    assert_eq!(first.answer().status(), 200);
    assert_eq!(old.child.wait().expect("ended").code(), Some(0));
    new.signal("-CONT");
    waiting.ask("order", "");
    let mut node = cache.take();
    node.request();
    node.reply("200 OK", "X-Lookup: hit\r\n", "");
    assert_eq!(waiting.answer().status(), 200);
}

/// Danger: with its successor gone nobody else takes what waits at the door, and the door goes with the old process.
#[test]
fn an_old_process_that_ends_takes_the_door_back_where_its_successor_dies() {
    let Succession { _place, cache, mut old, mut new, mut first, mut node } =
        Succession::with_a_request_out();
    old.signal("-TERM");
    old.logged("draining");
    new.child.kill().expect("killed");
    new.child.wait().expect("ended");
    old.logged("the new process has ended");
    let mut waiting = old.client();
    waiting.ask("order", "");
    let mut second = cache.take();
    second.request();
    second.reply("200 OK", "X-Lookup: hit\r\n", "");
    assert_eq!(waiting.answer().status(), 200);
    node.reply("200 OK", "X-Lookup: hit\r\n", "");
    assert_eq!(first.answer().status(), 200);
    assert_eq!(old.child.wait().expect("ended").code(), Some(0));
}

/// Danger: a host kills a process that never says yes, and pauses before the next; one that nobody gives leave for a while would be
/// started again and again, and be away when leave could be had.
#[test]
fn signs_of_life_do_not_wait_for_leave() {
    let place = Place::new();
    let servers = [member("c1", Server::new().addr, "std", "ready")];
    let mut config = place.config(&servers);
    config["control_service"] = json!({"addresses": [Server::new().addr.to_string()]});
    config["policy"] = json!({"ask_ms": 100});
    let socket = place.dir.join("host");
    let host = std::os::unix::net::UnixDatagram::bind(&socket).expect("bound");
    host.set_read_timeout(Some(LONG)).expect("time-out");
    let program = "00112233445566778899aabbccddeeff";
    let variables = [
        ("PROXY_HOST", socket.to_str().expect("a path")),
        ("PROXY_PROGRAM", program),
        ("PROXY_OWN_PROGRAM", program),
    ];
    let proxy = Proxy::with(&config, &variables);
    let mut bytes = [0; 1024];
    let mut says_yes = || {
        let n = host.recv(&mut bytes).expect("a sign of life");
        rushquay_supervisor::Heartbeat::read(&bytes[..n]).expect("one that can be read").yes
    };
    // The first may come before it accepts; they come five times a second.
    assert!((0..25).any(|_| says_yes()), "it never says yes");
    assert_eq!(proxy.health(), 503);
}

/// Danger: whoever hears that a new process serves has the old one end, which could.
#[test]
fn a_new_process_that_no_policy_lets_serve_leaves_the_old_one_its_place() {
    let (place, seen) = (Place::new(), Seen::new());
    let servers = [member("c1", node("c1", &seen), "std", "ready")];
    let mut old = place.start(&servers);
    old.yes();
    let nobody = Server::new();
    let mut config = place.config(&servers);
    config["control_service"] = json!({"addresses": [nobody.addr.to_string()]});
    config["policy"] = json!({"ask_ms": 100});
    let mut new = Proxy::with(&config, &[("TMPDIR", place.dir.to_str().expect("a path"))]);
    new.logged("no leave yet");
    // Each of these connections is taken by whoever accepts at the shared address.
    for _ in 0..40 {
        let mut client = old.client();
        client.ask("read", "");
        assert_eq!(client.answer().status(), 200, "answered by a process that may not serve");
    }
    // It takes over all the same where the old one is gone.
    old.child.kill().expect("killed");
    old.child.wait().expect("ended");
    new.logged("the old process has ended");
    let mut client = new.client();
    client.ask("read", "");
    assert_eq!(client.answer().status(), 503);
}

/// Guards against a change that runs in both processes of an upgrade, when its id comes again at the other one.
#[test]
fn an_id_runs_in_one_process_of_an_upgrade() {
    const CHANGES: usize = 12;
    let place = Place::new();
    let seen = Seen::new();
    let servers = [member("o1", node("o1", &seen), "origin", "ready")];
    let mut old = place.start(&servers);
    old.yes();
    // Returns the status of the answer to a change.
    let change = |client: &mut Peer, id: &str| {
        client.write(&get_as(id, "order", "Content-Length: 0\r\n").replace("GET", "PUT"));
        client.answer().status()
    };
    let runs = || seen.books.lock().expect("whole").ran_at("o1");
    let mut at_old = Vec::new();
    for n in 0..2 * CHANGES {
        let mut client = Peer::to(place.listen);
        assert_eq!(change(&mut client, &format!("before-{n}")), 200);
        at_old.push(client);
    }
    let mut new = place.start(&servers);
    new.yes();
    let (old_first, new_first) = at_old.split_at_mut(CHANGES);
    for (n, client) in old_first.iter_mut().enumerate() {
        assert_eq!(change(client, &format!("old-{n}")), 200);
    }
    // New connections go to either process.
    for (n, client) in new_first.iter_mut().enumerate() {
        let id = format!("new-{n}");
        assert_eq!(change(&mut Peer::to(place.listen), &id), 200);
        assert_eq!(change(client, &id), 409);
    }
    assert_eq!(runs(), 4 * CHANGES);
    old.signal("-TERM");
    assert_eq!(old.child.wait().expect("ended").code(), Some(0));
    for id in (0..CHANGES).flat_map(|n| [format!("before-{n}"), format!("old-{n}"), format!("new-{n}")]) {
        assert_eq!(change(&mut Peer::to(place.listen), &id), 409, "{id}");
    }
    assert_eq!(runs(), 4 * CHANGES);
    assert_eq!(change(&mut Peer::to(place.listen), "another"), 200);
}
