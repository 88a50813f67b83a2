//! Versions of the program that are no good, for the tests of hosts and of staged changes: the same library, and a defect that the
//! last bytes of the file name, so that each has a digest of its own. `--defect WORDS` behind the mark `#defect:`.

use rushquay::proxy::config::Config;
use rushquay::proxy::process::signals::SignalFlag;
use rushquay::proxy::server;
use std::time::Duration;
use tokio::time::sleep;

/// What stands before the words.
const MARK: &[u8] = b"\n#defect:";

/// The words behind the program's own bytes.
fn defect() -> Vec<String> {
    let program = std::env::current_exe().and_then(std::fs::read).expect("its own file");
    let tail = &program[program.len() - 200.min(program.len())..];
    let at = tail.windows(MARK.len()).rposition(|w| w == MARK).expect("a mark at its end");
    let words = String::from_utf8_lossy(&tail[at + MARK.len()..]).into_owned();
    words.split_whitespace().map(str::to_owned).collect()
}

fn main() {
    let words = defect();
    let word = |n: usize| words.get(n).map_or("", String::as_str);
    let span = Duration::from_millis(word(1).parse().unwrap_or(0));
    if word(0) == "never-yes" {
        std::thread::sleep(Duration::from_secs(600));
        return;
    }
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let hangup = SignalFlag::reload().expect("a signal");
        let ending = SignalFlag::terminate().expect("a signal");
        let stop = async move { ending.raised().await };
        let mut config = Config::from_env().expect("a configuration");
        // One class of requests, or one data centre's proxies alone.
        if word(0) == "fails" && (word(2).is_empty() || config.name.ends_with(word(2))) {
            let class = config.names.classes.iter().position(|c| c == word(1)).expect("a class");
            // No node stands there: all of the class is refused.
            config.settings.classes[class].zones = Some(vec![99]);
        }
        let (what, after) = (word(0).to_owned(), span);
        let times = [2, 3].map(|n| Duration::from_millis(word(n).parse().unwrap_or(0)));
        let told = move |_| {
            tokio::task::spawn_local(strike(what, after, times));
        };
        server::run(config, stop, hangup, told).await.expect("it serves");
    });
}

/// Strikes so long after the yes; `stands` and `goes`: for so long in turn, where it is slow.
async fn strike(what: String, after: Duration, [stands, goes]: [Duration; 2]) {
    sleep(after).await;
    match what.as_str() {
        "ends" => std::process::exit(3),
        "hangs" => std::thread::sleep(Duration::from_secs(600)),
        // Its one thread stands still time and again, with all that it serves.
        "slows" => loop {
            std::thread::sleep(stands);
            sleep(goes).await;
        },
        "leaks" => {
            let mut held = Vec::new();
            loop {
                held.extend(std::fs::File::open("/proc/self/status"));
                sleep(Duration::from_millis(20)).await;
            }
        }
        _ => {}
    }
}
