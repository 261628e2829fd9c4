//! The event reader returns whole events, whatever the chunk boundaries of a stream.

use bytes::Bytes;
use http_body_util::StreamBody;
use hyper::body::Frame;
use spanfold_gateway::{EventError, EventReader};
use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};

struct Chunks<'a>(std::slice::Iter<'a, &'static str>);

impl futures_core::Stream for Chunks<'_> {
    type Item = Result<Frame<Bytes>, Infallible>;

    fn poll_next(mut self: Pin<&mut Self>, _context: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        Poll::Ready(self.0.next().map(|chunk| Ok(Frame::data(Bytes::from_static(chunk.as_bytes())))))
    }
}

async fn read(chunks: &[&'static str]) -> (Vec<String>, Option<EventError>, Option<String>) {
    let mut reader = EventReader::new(StreamBody::new(Chunks(chunks.iter())));
    let mut events = Vec::new();
    let error = loop {
        match reader.next().await {
            Ok(Some(event)) => events.push(String::from_utf8(event.to_vec()).unwrap()),
            Ok(None) => break None,
            Err(error) => break Some(error),
        }
    };
    let last = reader.last_id().map(|id| String::from_utf8(id.to_vec()).unwrap());
    (events, error, last)
}

#[tokio::test]
async fn events_come_out_whole_however_they_are_cut() {
    let text = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
    let whole = (vec![text.to_owned()], None, Some("2".to_owned()));
    assert_eq!(read(&[text]).await, whole);
    for cut in 1..text.len() {
        let (head, tail) = text.split_at(cut);
        let (events, error, last) = read(&[head, tail]).await;
        assert_eq!(
            (events.concat().as_str(), error, last.as_deref()),
            (text, None, Some("2")),
            "cut at {cut}"
        );
    }
}

#[tokio::test]
async fn stream_that_ends_within_an_event_is_partial() {
    let (events, error, last) = read(&["id: 1\ndata: a\n\nid: 2\nda"]).await;
    assert_eq!(events, ["id: 1\ndata: a\n\n"]);
    assert_eq!((error, last.as_deref()), (Some(EventError::Partial), Some("1")));
}

/// Guards against events that come twice, also behind one whose id is lower.
#[yare::parameterized(
    same = { &["id: 1\ndata: a\n\n", "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"] },
    in_one_chunk = { &["id: 1\ndata: a\n\nid: 1\ndata: a\n\nid: 2\ndata: b\n\n"] },
    from_the_start = { &["id: 1\ndata: a\n\nid: 2\ndata: b\n\n", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"] },
    crlf = { &["id: 1\ndata: a\n\n", "id: 1\r\ndata: a\r\n\r\nid: 2\ndata: b\n\n"] },
)]
#[test_macro(tokio::test)]
async fn events_whose_ids_do_not_rise_are_dropped(chunks: &[&'static str]) {
    let (events, error, last) = read(chunks).await;
    assert_eq!(events.concat(), "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
    assert_eq!((error, last.as_deref()), (None, Some("2")));
}

/// Guards against streams that go on for ever without a new event.
#[yare::parameterized(
    comments = { ": on\n\n" },
    repeated = { "id: 1\ndata: a\n\n" },
    lower = { "id: 0\ndata: a\n\n" },
)]
#[test_macro(tokio::test)]
async fn a_stream_without_new_events_ends_with_an_error(repeated: &'static str) {
    let mut chunks = vec!["id: 1\ndata: a\n\n"];
    chunks.extend(std::iter::repeat_n(repeated, 20_000));
    let (_, error, last) = read(&chunks).await;
    assert_eq!((error, last.as_deref()), (Some(EventError::NoProgress), Some("1")));
}

/// Guards against comments, and events without an id, that are taken for a stream without progress.
#[tokio::test]
async fn comments_between_events_are_passed_on() {
    let chunks = [": on\n\n", "id: 1\ndata: a\n\n", ": on\n\n", "data: b\n\n", "data: b\n\n"];
    let (events, error, last) = read(&chunks).await;
    assert_eq!(events.concat(), chunks.concat());
    assert_eq!((error, last.as_deref()), (None, Some("1")));
}

#[tokio::test]
async fn events_may_have_crlf_line_ends() {
    let (events, error, _) = read(&["id: 1\r\ndata: a\r\n", "\r\nid: 2\r\ndata: b\r\n\r\n"]).await;
    assert_eq!((events.concat().as_str(), error), ("id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n", None));
}
