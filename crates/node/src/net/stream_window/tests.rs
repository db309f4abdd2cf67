use super::StreamWindow;
use bytes::Bytes;
use std::task::{Context, Poll, Waker};

#[test]
fn window_opens_again_when_a_part_is_dropped() {
    let cx = Context::from_waker(Waker::noop());
    let window = StreamWindow::new(10);
    let first = window.pass(Bytes::from_static(b"123456"));
    assert_eq!(window.poll_open(&cx), Poll::Ready(()));
    let second = window.pass(Bytes::from_static(b"789012"));
    assert_eq!(window.poll_open(&cx), Poll::Pending);
    let slice = first.slice(2..);
    drop(first);
    assert_eq!(
        window.poll_open(&cx),
        Poll::Pending,
        "a slice of the part is still on its way"
    );
    drop(slice);
    assert_eq!(window.poll_open(&cx), Poll::Ready(()));
    drop(second);
}
