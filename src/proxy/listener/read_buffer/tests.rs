use super::*;

const HEAD: &[u8] = b"GET /read/1 HTTP/1.1\r\nHost: a\r\n\r\n";

fn clock() -> (Instant, impl Fn(u64) -> Instant) {
    let start = Instant::now();
    (start, move |ms| start + Duration::from_millis(ms))
}

/// Passes on one whole buffered request.
fn pass_request(buffer: &ReadBuffer) {
    buffer.begin_request(HEAD.len() as u64);
    buffer.held.borrow_mut().drain(..HEAD.len());
    buffer.passed_on(HEAD.len());
}

#[test]
fn a_request_waits_from_its_last_byte_even_behind_pipelined_requests() {
    let (_, at) = clock();
    let buffer = ReadBuffer::default();
    buffer.take(&[HEAD, &HEAD[..5]].concat(), at(0));
    pass_request(&buffer);
    assert_eq!(buffer.waited(at(400)), Duration::from_millis(400));
    // The rest of the second request and a third one arrive while the first is in progress.
    buffer.take(&HEAD[5..], at(300));
    buffer.take(HEAD, at(350));
    pass_request(&buffer);
    assert_eq!(buffer.waited(at(400)), Duration::from_millis(100));
    pass_request(&buffer);
    assert_eq!(buffer.waited(at(400)), Duration::from_millis(50));
}

#[test]
fn a_head_received_in_pieces_waits_from_its_last_piece() {
    let (_, at) = clock();
    let buffer = ReadBuffer::default();
    for (n, byte) in HEAD.iter().enumerate() {
        buffer.take(&[*byte], at(n as u64));
        if n + 1 < HEAD.len() {
            buffer.clear_arrivals();
        }
    }
    assert!(buffer.arrivals.borrow().len() <= 1, "earlier arrival times are dropped");
    pass_request(&buffer);
    assert_eq!(buffer.waited(at(100)), Duration::from_millis(100 - (HEAD.len() as u64 - 1)));
}

#[test]
fn with_an_unknown_end_the_last_byte_counts_and_few_arrivals_are_kept() {
    let (_, at) = clock();
    let buffer = ReadBuffer::default();
    buffer.take(HEAD, at(0));
    buffer.begin_request(UNLIMITED);
    for n in 1..1000 {
        buffer.record_arrival(10, at(n));
    }
    assert_eq!(buffer.waited(at(1000)), Duration::from_millis(1));
    assert!(buffer.arrivals.borrow().len() <= 2);
}

#[test]
fn buffered_input_is_classified_by_its_heads() {
    let (start, _) = clock();
    let buffer = ReadBuffer::default();
    buffer.take(HEAD, start);
    buffer.begin_request(HEAD.len() as u64);
    assert_eq!(buffer.buffered_input(), BufferedInput::Nothing);
    buffer.take(&HEAD[..9], start);
    assert_eq!(buffer.buffered_input(), BufferedInput::Part);
    buffer.take(&HEAD[9..], start);
    assert_eq!(buffer.buffered_input(), BufferedInput::Request);
}

#[test]
fn nothing_is_read_ahead_into_a_body_or_beyond_the_capacity() {
    let (start, _) = clock();
    let buffer = ReadBuffer::default();
    assert_eq!(buffer.read_ahead_capacity(), MAX_READ_AHEAD);
    buffer.take(&vec![b'x'; MAX_READ_AHEAD - 1], start);
    assert_eq!(buffer.read_ahead_capacity(), 1);
    buffer.pass.set(7);
    assert_eq!(buffer.read_ahead_capacity(), 0);
    let closed = ReadBuffer::default();
    closed.close();
    assert_eq!(closed.read_ahead_capacity(), 0);
}
