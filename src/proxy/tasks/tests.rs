use super::*;
use crate::proxy::config::Config;
use crate::proxy::process::signals::SignalFlag;
use crate::proxy::server;
use std::cell::Cell;
use std::future::pending;
use std::pin::Pin;
use tokio::task::LocalSet;

thread_local! {
    /// The background task of this thread that panics at its start.
    static FAULT: Cell<Option<BackgroundTask>> = const { Cell::new(None) };
}

/// The work of a background task, or a panic if the test asks for one.
pub(super) fn with_fault(
    task: BackgroundTask,
    work: impl Future<Output = ()> + 'static,
) -> Pin<Box<dyn Future<Output = ()>>> {
    if FAULT.get() == Some(task) {
        return Box::pin(async { panic!("a fault that the test puts in") });
    }
    Box::pin(work)
}

/// A configuration with one class and a discovery that cannot be reached.
const CONFIG: &str = r#"{
    "name": "p1", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "seed": "8c1f30d27a5be964",
    "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 256}, "news": {"of": ["a", "later"]},
    "known": {"version": 1, "full": true, "servers": []},
    "settings": {
        "categories": [{"name": "read", "effect": "safe", "group": "all", "promise_ns": 1000000000,
            "deadline_ns": 100000000, "dedup_window_ns": 1000000000, "late_value": 0.5, "value": 1.0, "stream": false}],
        "customers": [{"name": "acme", "quota_rps": 1000.0, "fraction": 1.0}],
        "localities": ["a"], "machine_types": ["std", "origin"], "zone": 0, "n_instances": 1,
        "self_index": 0, "discovery": "subscribe", "over_share_worth": 0.1, "worth_by": "request",
        "family_info": {"mode": "aside", "origin_kind": 1},
        "caps": {"attempts_cap": 5, "cancelling": true, "second_copies": true, "conn_idle_ns": 60000000000,
                 "connect_timeout_ns": 1000000000, "max_retry_after_ns": 2000000000},
        "rules": {"cold_from": 0.1, "cold_ns": 20000000000, "fall_multiple": 3.0,
                  "fall_ns": 3000000000, "must_ask_in_ns": 40000000000}
    }
}"#;

/// Guards against a process that goes on by an old endpoint list, and calls itself ready, because a task that it relies on has panicked.
#[tokio::test(flavor = "current_thread")]
async fn a_background_task_that_panics_ends_the_process() {
    let started_by_every_proxy = [
        BackgroundTask::Discovery,
        BackgroundTask::Reload,
        BackgroundTask::ClientWatch,
        BackgroundTask::IdleSweep,
        BackgroundTask::PauseDetection,
    ];
    for task in started_by_every_proxy {
        FAULT.set(Some(task));
        let config = Config::parse(CONFIG, |_| None).expect("a configuration");
        let hangup = SignalFlag::reload().expect("a signal handler");
        let run = server::run(config, pending(), hangup, |_| {});
        let ended = LocalSet::new().run_until(run).await;
        assert_eq!(ended, Err(format!("{task} panicked: a fault that the test puts in")));
    }
}

/// Guards against a panic that nobody counts.
#[tokio::test(flavor = "current_thread")]
async fn a_panic_is_counted_and_its_message_is_kept() {
    let metrics = RequestMetrics::new(&[]);
    let number = 7;
    let panic = catch_panic(async move { assert_eq!(number, 8, "the numbers differ") }).await;
    let panic = panic.expect_err("a panic");
    assert!(panic.to_string().contains("the numbers differ"), "{panic}");
    record_panic(&metrics, "a task", &panic);
    assert_eq!(metrics.violations.get(Violation::TaskPanicked), 1);
}
