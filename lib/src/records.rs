//! Merging of opaque records: the greatest come first, compared byte by byte.

use bytes::Bytes;
use bytes::BytesMut;

/// Bytes of a record. A shorter remainder of a part is no record.
pub const RECORD_BYTES: usize = 16;

/// Returns the greatest `top` records of all parts, falling. Equal records all count.
pub fn greatest<'a>(parts: impl IntoIterator<Item = &'a Bytes>, top: usize) -> Bytes {
    let mut records: Vec<&[u8]> =
        parts.into_iter().flat_map(|part| part.chunks_exact(RECORD_BYTES)).collect();
    let falling = |a: &&[u8], b: &&[u8]| b.cmp(a);
    if top > 0 && records.len() > top {
        records.select_nth_unstable_by(top - 1, falling);
    }
    records.truncate(top);
    records.sort_unstable_by(falling);
    let mut merged = BytesMut::with_capacity(records.len() * RECORD_BYTES);
    records.iter().for_each(|record| merged.extend_from_slice(record));
    merged.freeze()
}
