//! The error texts that operators see in the log, and the reading of lists in chunks.

use super::error::{ListError, WatchError};
use super::reader::ListReader;
use super::wire::ListUpdate;
use hyper::StatusCode;
use serde_json::json;

fn reader_with(data: &[u8]) -> ListReader {
    let mut reader = ListReader::default();
    reader.push(data).expect("the beginning of a list");
    reader
}

#[test]
fn error_texts_match_the_operator_documentation() {
    let no_endpoints = ListUpdate::parse(&json!({"index": 1})).err();
    let no_index = ListUpdate::parse(&json!({"endpoints": []})).err();
    let not_a_list = ListReader::default().push(b" [").err();
    let malformed = reader_with(b"{]").next_list().err();
    let too_large = ListReader::default().push(&vec![b'{'; (4 << 20) + 1]).err();
    let text = |error: Option<ListError>| error.map(|error| WatchError::from(error).to_string());
    assert_eq!(
        text(no_endpoints).as_deref(),
        Some("a list without `endpoints`")
    );
    assert_eq!(text(no_index).as_deref(), Some("a list without `index`"));
    assert_eq!(text(not_a_list).as_deref(), Some("not an endpoint list"));
    assert_eq!(
        text(malformed).as_deref(),
        Some("not an endpoint list: key must be a string at line 1 column 2")
    );
    assert_eq!(
        text(too_large).as_deref(),
        Some("the list is larger than the limit")
    );
    assert_eq!(
        ListError::Incomplete.to_string(),
        "the list ended before it was complete"
    );
    assert_eq!(WatchError::TimedOut.to_string(), "no data in time");
    assert_eq!(
        WatchError::Status(StatusCode::SERVICE_UNAVAILABLE).to_string(),
        "status 503 Service Unavailable"
    );
}

#[test]
fn lists_are_read_from_chunks_of_any_size() {
    let data = b"\n{\"index\": 1}\n {\n  \"index\": 2\n}\n\n";
    for chunk_len in 1..=data.len() {
        let mut reader = ListReader::default();
        let mut lists = Vec::new();
        for chunk in data.chunks(chunk_len) {
            reader.push(chunk).expect("a part of a list");
            while let Some(list) = reader.next_list().expect("a list") {
                lists.push(list);
            }
        }
        assert_eq!(lists, [json!({"index": 1}), json!({"index": 2})]);
        assert!(reader.is_empty());
    }
}
