//! Entries of leafs that another writer has left in the store: deeply nested, with numbers beyond
//! their types, with addresses that name no leaf. They come by watch, by list and from other hosts.

use bytes::Bytes;
use serde_json::json;
use testutils::eventually;

use crate::edge_bed::Caller;
use crate::edge_bed::EdgeBed;
use crate::edge_bed::configuration;
use crate::edge_bed::store::StoreFault;

/// Depth of nested arrays and objects that are a whole entry or its unknown field.
const DEPTH: usize = 100_000;
/// Depth of those in the place of a known field.
const FIELD_DEPTH: usize = 2_000;
/// Number of entries of [`LARGE_BYTES`], which together exceed what a host reads in one answer.
const LARGE_ENTRIES: usize = 12;
const LARGE_BYTES: usize = 700_000;

/// Returns an entry of a ready leaf in which the JSON text `value` stands for `field`.
fn entry_with(field: &str, value: &str) -> String {
    let fields = [
        ("service", "\"shard0\""),
        ("address", "\"127.0.0.1:9\""),
        ("zone", "\"muc-a\""),
        ("version", "\"v1\""),
        ("max_concurrency", "2"),
        ("state", "\"ready\""),
        ("cold_left_ms", "0"),
        ("sequence", "1"),
        ("born", "1784903585067"),
    ];
    let known = fields.iter().filter(|(name, _)| *name != field);
    let known = known.map(|(name, value)| format!("\"{name}\":{value}"));
    let all: Vec<_> = known.chain([format!("\"{field}\":{value}")]).collect();
    format!("{{{}}}", all.join(","))
}

fn nested(open: &str, close: &str, depth: usize) -> String {
    open.repeat(depth) + &close.repeat(depth)
}

/// Returns odd values of entries. None of them names a leaf that can be called.
fn odd_values() -> Vec<Bytes> {
    let mut values: Vec<Bytes> = vec![
        nested("[", "]", DEPTH).into(),
        nested("{\"a\":", "}", DEPTH).into(),
        entry_with("unknown", &nested("[", "]", DEPTH)).into(),
        "[".repeat(DEPTH).into(),
        Bytes::from_static(b""),
        Bytes::from_static(b"\xff\xfe{"),
        Bytes::from_static(b"null"),
    ];
    let fields = ["service", "address", "zone", "max_concurrency", "state", "cold_left_ms"];
    let fields = fields.into_iter().chain(["sequence", "born", "unknown"]);
    for field in fields {
        values.push(entry_with(field, &nested("[", "]", FIELD_DEPTH)).into());
        values.push(entry_with(field, &nested("{\"a\":", "}", FIELD_DEPTH)).into());
        for number in ["1e400", "-1e400", "-1", "18446744073709551616", "9e99", "NaN"] {
            values.push(entry_with(field, number).into());
        }
    }
    for field in ["max_concurrency", "cold_left_ms", "sequence", "born"] {
        values.push(entry_with(field, "18446744073709551615").into());
    }
    let addresses = ["127.0.0.1:0", "127.0.0.1:65536", "127.0.0.1:99999999999999999999"];
    let addresses = addresses.into_iter().chain(["127.0.0.1:-1", "0.0.0.0:0", "[::]:9", ":", ""]);
    for address in addresses.chain(["255.255.255.255:9", "224.0.0.1:9", "0.0.0.0:9"]) {
        values.push(entry_with("address", &json!(address).to_string()).into());
    }
    values.push(entry_with("service", &json!("\u{0}\n\u{7f}").to_string()).into());
    values
}

fn put_odd_entries(bed: &EdgeBed) {
    for (number, value) in odd_values().into_iter().enumerate() {
        bed.store.put_bytes(&format!("servers/odd-{number}"), value);
    }
    for key in ["servers/", "servers/a/b\"{", "servers/\u{0}\n", "servers"] {
        bed.store.put(key, &json!({"service": "shard0"}));
    }
    let long = format!("servers/{}", "x".repeat(190));
    bed.store.put_bytes(&long, entry_with("sequence", "2").into());
}

/// Guards against a host that follows the store no longer since the changes are too many for one
/// answer.
#[tokio::test(flavor = "multi_thread")]
async fn entries_that_exceed_one_answer_together_are_read_in_pages() {
    let mut bed = EdgeBed::start(2, 2, 1).await;
    let value = entry_with("zone", &json!("z".repeat(LARGE_BYTES)).to_string());
    // They all come with one watch, as the host reads none of them before.
    bed.daemons[0].signal("STOP");
    for number in 0..LARGE_ENTRIES {
        bed.store.put_bytes(&format!("servers/large-{number}"), value.clone().into());
    }
    bed.daemons[0].signal("CONT");
    assert_all_follow(&mut bed, 5).await;
}

/// Publishes a version, waits until all daemons have applied it, and asserts that no process has
/// ended and that each one serves requests.
async fn assert_all_follow(bed: &mut EdgeBed, version: u64) {
    bed.store.put("op/config", &configuration(version, 2));
    for number in 0..bed.daemons.len() {
        let daemon = &mut bed.daemons[number];
        eventually("a daemon follows the store", async || {
            (daemon.state().await?["version"] == version).then_some(())
        })
        .await;
        assert!(!daemon.has_ended(), "daemon {number} has ended");
        let mut caller = Caller::connect(daemon.callers).await.expect("it accepts connections");
        for request in 0..10 {
            let id = format!("odd-{version}-{number}-{request}");
            for path in ["/one/1", "/all/1"] {
                let answer = caller.get(path, &id).await.expect("the request is answered");
                assert_eq!(answer.status, 200, "{path} at daemon {number}");
            }
        }
    }
}

/// Guards against processes that end, or follow the store no longer, when they read such an entry.
#[tokio::test(flavor = "multi_thread")]
async fn odd_entries_of_leafs_harm_no_host_that_watches_lists_or_hears_of_them() {
    let mut bed = EdgeBed::start(2, 2, 3).await;
    put_odd_entries(&bed);
    assert_all_follow(&mut bed, 5).await;
    // Reads everything by list.
    bed.daemons[0].restart();
    assert_all_follow(&mut bed, 7).await;
    // Gets everything from the other hosts.
    bed.store.set_fault(StoreFault::Busy);
    bed.daemons[1].restart();
    eventually("a host without the store is ready", async || {
        bed.daemons[1].is_ready().await.then_some(())
    })
    .await;
    bed.store.set_fault(StoreFault::None);
    assert_all_follow(&mut bed, 9).await;
}

/// Guards against the same where hosts learn of the entries from those that read the store for them.
#[tokio::test(flavor = "multi_thread")]
async fn odd_entries_of_leafs_harm_no_host_that_follows_a_reader() {
    let mut bed = EdgeBed::start(2, 2, 7).await;
    for daemon in &bed.daemons {
        eventually("a daemon knows the others", async || {
            (daemon.state().await?["hosts"].as_array()?.len() == 6).then_some(())
        })
        .await;
    }
    assert_all_follow(&mut bed, 5).await;
    put_odd_entries(&bed);
    assert_all_follow(&mut bed, 7).await;
}
