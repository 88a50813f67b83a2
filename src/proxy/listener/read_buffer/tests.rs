use super::*;

const HEAD: &[u8] = b"GET /read/1 HTTP/1.1\r\nHost: a\r\n\r\n";

fn moments() -> (Instant, impl Fn(u64) -> Instant) {
    let start = Instant::now();
    (start, move |ms| start + Duration::from_millis(ms))
}

/// Has the whole of a request handed on that is held.
fn hand_over(intake: &ReadBuffer) {
    intake.request(HEAD.len() as u64);
    intake.held.borrow_mut().drain(..HEAD.len());
    intake.handed(HEAD.len());
}

#[test]
fn a_request_has_waited_since_its_last_byte_came_whatever_stood_before_it() {
    let (_, at) = moments();
    let intake = ReadBuffer::default();
    intake.take(&[HEAD, &HEAD[..5]].concat(), at(0));
    hand_over(&intake);
    assert_eq!(intake.waited(at(400)), Duration::from_millis(400));
    // The rest of the second comes while the first is in work, and a third.
    intake.take(&HEAD[5..], at(300));
    intake.take(HEAD, at(350));
    hand_over(&intake);
    assert_eq!(intake.waited(at(400)), Duration::from_millis(100));
    hand_over(&intake);
    assert_eq!(intake.waited(at(400)), Duration::from_millis(50));
}

#[test]
fn a_head_that_comes_in_pieces_has_waited_since_the_last_of_them() {
    let (_, at) = moments();
    let intake = ReadBuffer::default();
    for (n, byte) in HEAD.iter().enumerate() {
        intake.take(&[*byte], at(n as u64));
        if n + 1 < HEAD.len() {
            intake.incomplete();
        }
    }
    assert!(intake.arrivals.borrow().len() <= 1, "nothing is kept of what came before");
    hand_over(&intake);
    assert_eq!(intake.waited(at(100)), Duration::from_millis(100 - (HEAD.len() as u64 - 1)));
}

#[test]
fn where_nobody_knows_the_end_the_last_byte_counts_and_little_is_kept() {
    let (_, at) = moments();
    let intake = ReadBuffer::default();
    intake.take(HEAD, at(0));
    intake.request(ALL);
    for n in 1..1000 {
        intake.came(10, at(n));
    }
    assert_eq!(intake.waited(at(1000)), Duration::from_millis(1));
    assert!(intake.arrivals.borrow().len() <= 2);
}

#[test]
fn what_stands_behind_is_told_by_heads() {
    let (start, _) = moments();
    let intake = ReadBuffer::default();
    intake.take(HEAD, start);
    intake.request(HEAD.len() as u64);
    assert_eq!(intake.behind(), BufferedInput::Nothing);
    intake.take(&HEAD[..9], start);
    assert_eq!(intake.behind(), BufferedInput::Part);
    intake.take(&HEAD[9..], start);
    assert_eq!(intake.behind(), BufferedInput::Request);
}

#[test]
fn nothing_is_read_ahead_of_a_body_or_past_the_room() {
    let (start, _) = moments();
    let intake = ReadBuffer::default();
    assert_eq!(intake.room(), BUFFER_MOST);
    intake.take(&vec![b'x'; BUFFER_MOST - 1], start);
    assert_eq!(intake.room(), 1);
    intake.pass.set(7);
    assert_eq!(intake.room(), 0);
    let closed = ReadBuffer::default();
    closed.close();
    assert_eq!(closed.room(), 0);
}
