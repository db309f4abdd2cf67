use super::{ChunkedBuffer, CHUNK_BYTES};

#[test]
fn chunks_hold_the_data_in_order_and_are_of_moderate_size() {
    let data: Vec<u8> = (0..100_000).map(|n| (n % 251) as u8).collect();
    for piece_bytes in [9, 5_000, CHUNK_BYTES, 40_000] {
        let mut buffer = ChunkedBuffer::new();
        data.chunks(piece_bytes)
            .for_each(|piece| buffer.push(piece));
        assert_eq!(buffer.len(), data.len());
        let chunks = buffer.into_chunks();
        let largest = chunks.iter().map(|chunk| chunk.len()).max();
        assert!(largest <= Some(CHUNK_BYTES.max(piece_bytes)));
        assert!(chunks.len() <= 2 * data.len() / CHUNK_BYTES + 2);
        assert_eq!(chunks.into_iter().flatten().collect::<Vec<u8>>(), data);
    }
}

#[test]
fn contiguous_buffer_has_one_chunk() {
    let mut buffer = ChunkedBuffer::contiguous(10);
    assert!(buffer.is_empty());
    let data = vec![b'x'; 3 * CHUNK_BYTES];
    data.chunks(1_000).for_each(|piece| buffer.push(piece));
    assert_eq!(buffer.last_chunk(), data);
    assert_eq!(buffer.into_chunks(), [data]);
}
