use super::*;
use crate::proxy::listener::admission::Admission;
use crate::proxy::listener::descriptors::Descriptors;
use std::future::pending;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{yield_now, LocalSet};

/// How a connection's task ends.
#[derive(Clone, Copy, Debug)]
enum End {
    Return,
    Panic,
    Abort,
}

/// Guards against the end of a connection's task, whatever it is, that keeps the connection's slot and its descriptor.
#[tokio::test(flavor = "current_thread")]
async fn no_end_of_a_task_keeps_a_slot_or_a_descriptor() {
    for end in [End::Return, End::Panic, End::Abort] {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bound");
        let stream = TcpStream::connect(listener.local_addr().expect("an address")).await.expect("connected");
        let (descriptors, registry) = (Descriptors::new(1), Rc::<ClientRegistry>::default());
        let permit = descriptors.take().expect("a descriptor");
        let client = Client::new(1, stream, Admission { role: ClientRole::Served, permit });
        let registration = registry.register(client);
        assert_eq!((registry.borrow().len(), descriptors.taken()), (1, 1), "{end:?}");
        let tasks = LocalSet::new();
        let task = tasks.spawn_local(async move {
            let _registration = registration;
            match end {
                End::Return => {}
                End::Panic => panic!("a fault that the test puts in"),
                End::Abort => pending().await,
            }
        });
        tasks.run_until(yield_now()).await;
        task.abort();
        let _ = tasks.run_until(task).await;
        assert_eq!((registry.borrow().len(), descriptors.taken()), (0, 0), "{end:?}");
        registry.left().await;
    }
}
