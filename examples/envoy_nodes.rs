//! Stand-in nodes for trying `examples/envoy/bootstrap.yaml`: each answers with its own name, on ports 19101 to 19106 of
//! loopback. Ctrl-C ends it.

use rushquay_test_servers::Node;
use std::time::Duration;

#[tokio::main(flavor = "current_thread")]
async fn main() {
    let mut nodes = Vec::new();
    for port in 19101..=19106u16 {
        nodes.push(
            Node::start_at(([127, 0, 0, 1], port).into(), &format!("node-{port}"), Duration::from_millis(1))
                .await,
        );
    }
    println!("{} nodes", nodes.len());
    std::future::pending::<()>().await;
}
