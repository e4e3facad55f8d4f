//! Merging of opaque records by descending byte order.

use bytes::Bytes;
use bytes::BytesMut;

/// Size of a record in bytes. A shorter remainder at the end of a part is ignored.
pub const RECORD_BYTES: usize = 16;

/// Returns the `top` greatest records of all parts in descending order, concatenated. Records that
/// occur several times are all kept.
pub fn merge_greatest<'a>(parts: impl IntoIterator<Item = &'a Bytes>, top: usize) -> Bytes {
    let mut records: Vec<&[u8]> =
        parts.into_iter().flat_map(|part| part.chunks_exact(RECORD_BYTES)).collect();
    let descending = |a: &&[u8], b: &&[u8]| b.cmp(a);
    if top > 0 && records.len() > top {
        records.select_nth_unstable_by(top - 1, descending);
    }
    records.truncate(top);
    records.sort_unstable_by(descending);
    let mut merged = BytesMut::with_capacity(records.len() * RECORD_BYTES);
    records.iter().for_each(|record| merged.extend_from_slice(record));
    merged.freeze()
}
