//! The program with clocks that run wrong, for tests of machines whose clocks differ: the same library, with clocks that are passed in.
//! `SKEW_PPM`: so many parts in a million fast (below 0: slow), from the process's start on. `SKEW_STEP_S`: so many seconds ahead from the
//! start on (the wall clock alone). Arguments: none for a proxy, or those of `rushquay control`: `--listen`, `--admin`, `--discovery`,
//! `--config`.

use rushquay::proxy::config::Config;
use rushquay::proxy::process::signals::SignalFlag;
use rushquay::proxy::server;
use rushquay_control_service::{
    monotonic_nanos, read_settings, start_with_clocks, Clocks, Options, SourceOption,
};
use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};

fn told(name: &str) -> i64 {
    std::env::var(name).map_or(0, |v| v.parse().expect("a whole number"))
}

/// A clock that runs so many parts in a million fast.
fn skewed(ppm: i64) -> impl Fn() -> u64 + Send + Sync + Clone {
    let start = monotonic_nanos();
    move || {
        let passed = i128::from(monotonic_nanos() - start);
        start + (passed * i128::from(1_000_000 + ppm) / 1_000_000) as u64
    }
}

/// That clock, and a wall clock that is ahead.
fn clocks(steady: impl Fn() -> u64 + Send + Sync + 'static) -> Clocks {
    let step = told("SKEW_STEP_S");
    let wall = move || {
        #[expect(clippy::disallowed_methods, reason = "a machine whose wall clock runs fast or slow")]
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        (now.as_nanos() as u64).saturating_add_signed(step * 1_000_000_000)
    };
    Clocks { monotonic: Arc::new(steady), wall: Arc::new(wall) }
}

fn main() {
    let clock = skewed(told("SKEW_PPM"));
    let args: Vec<String> = std::env::args().skip(1).collect();
    if args.first().is_some_and(|a| a == "control") {
        return control(&args, clock);
    }
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let hangup = SignalFlag::reload().expect("a signal");
        let ending = SignalFlag::terminate().expect("a signal");
        let stop = async move { ending.raised().await };
        let mut config = Config::from_env().expect("a configuration");
        config.clocks = clocks(clock);
        server::run(config, stop, hangup, |_| {}).await.expect("it serves");
    });
}

fn control(args: &[String], clock: impl Fn() -> u64 + Send + Sync + 'static) {
    let option = |name: &str| {
        let at = args.iter().position(|a| a == name);
        at.and_then(|at| args.get(at + 1)).unwrap_or_else(|| panic!("{name} is needed"))
    };
    let address = |name: &str| option(name).parse().expect("an address");
    let options = Options {
        listen: address("--listen"),
        source: SourceOption::Discovery(address("--discovery")),
        admin: Some(address("--admin")),
        settings: read_settings(option("--config").as_ref()).expect("settings"),
        state_file: None,
    };
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build();
    runtime.expect("a runtime").block_on(async {
        let ending = SignalFlag::terminate().expect("a signal");
        let service = start_with_clocks(options, clocks(clock)).await.expect("a control service");
        println!("listening xds={} admin={}", service.xds, service.admin.expect("an admin address"));
        ending.raised().await;
        service.stop().await;
    });
}
