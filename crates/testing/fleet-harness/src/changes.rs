//! Changes as tests ask for them and read how they stand.

use crate::Fleet;
use serde_json::{json, Value};
use std::time::Duration;

/// Begins a change, once how the fleet does without one is known, and gives its number.
pub async fn start(fleet: &Fleet, settings: Value, plan: Value) -> u64 {
    let ask = json!({"settings": settings, "plan": plan, "author": "ravi", "reason": "a test"});
    loop {
        let (status, said) = fleet.post("/v1/rollout", ask.clone()).await;
        if said["error"].as_str().is_some_and(|e| e.contains("no baseline of the fleet yet")) {
            // After a change what is usual is learned anew.
            tokio::time::sleep(Duration::from_millis(300)).await;
            continue;
        }
        assert_eq!(status, 201, "{said}");
        return said["change"]["id"].as_u64().expect("a number");
    }
}

/// The phase of the change that a status tells of; empty: there is none.
pub fn phase(status: &Value) -> &str {
    status["change"]["phase"]["phase"].as_str().unwrap_or("")
}

/// The same in words.
pub fn words(status: &Value) -> &str {
    status["change"]["in_words"].as_str().unwrap_or("")
}

/// Ends the load and asserts that the books of the four rules show no breach.
pub async fn in_order(mut fleet: Fleet) {
    fleet.calm().await;
    let breaches = fleet.audit();
    assert!(breaches.is_empty(), "{breaches:?}");
}
