//! Leafs that stop within the head of a response: at every byte, on fresh and on used connections, for
//! single and for gathered requests.

use testutils::eventually;

use crate::edge_bed::Answer;
use crate::edge_bed::Behaviour;
use crate::edge_bed::Caller;
use crate::edge_bed::EdgeBed;
use crate::edge_bed::Ending;
use crate::edge_bed::Framing;
use crate::edge_bed::leaf::framed_response;

const FRAMINGS: [Framing; 3] = [Framing::Length, Framing::Chunked, Framing::Close];

async fn connect(bed: &EdgeBed) -> Caller {
    Caller::connect(bed.daemons[0].callers).await.expect("the daemon accepts connections")
}

/// Asserts that an answer is no success, or that it is whole: a single one with the signature and
/// the body of its leaf, a gathered one without the shard whose leaf has cut its response.
fn assert_whole(path: &str, id: &str, answer: &Answer, is_cut: bool) {
    if !(200..300).contains(&answer.status) {
        assert!(is_cut, "{path} {id} was answered {}", answer.status);
        return;
    }
    if path.starts_with("/all/") {
        let signatures = answer.header("x-part-seals");
        assert_eq!(signatures.contains("i-0-0."), !is_cut, "{id}: {signatures}");
        let missing = answer.header("x-missing-parts");
        assert_eq!(missing == "1", is_cut, "{id}: {missing} parts are missing");
        assert_eq!(answer.body.len(), 3 * 16, "{id}");
    } else {
        assert!(!is_cut, "{id}: a success without a whole response");
        assert_eq!(answer.header("x-response-seal"), format!("i-0-0.{id}"));
        assert!(!answer.body.is_empty() && answer.body.len().is_multiple_of(16), "{id}");
    }
}

/// Sends one request to a leaf that cuts its response after `bytes`. If the connection is to be used,
/// another request has got a whole response on it before.
async fn play_cut(bed: &EdgeBed, path: &str, behaviour: Behaviour, is_used: bool, number: usize) {
    let mut caller = connect(bed).await;
    if is_used {
        bed.leafs[0].set_behaviour(Behaviour::Normal);
        let id = format!("whole-{number:05}");
        let answer = caller.get(&format!("{path}{id}"), &id).await.expect("it is answered");
        assert_whole(path, &id, &answer, false);
    }
    bed.leafs[0].set_behaviour(behaviour);
    let id = format!("cut-{number:05}");
    let answer = caller.get(&format!("{path}{id}"), &id).await.expect("it is answered");
    assert_whole(path, &id, &answer, true);
    assert!(
        bed.leafs[0].runs(&id) > 0,
        "{path} {id} reached no leaf and was answered {}",
        answer.status
    );
}

/// Guards against a success with an empty or short body that is framed as whole.
#[tokio::test(flavor = "multi_thread")]
async fn response_whose_head_ends_early_is_never_passed_on_as_whole() {
    let bed = EdgeBed::start(3, 1, 1).await;
    let mut number = 0;
    for framing in FRAMINGS {
        let (_, head) = framed_response("i-0-0.cut-00000", "cut-00000", framing);
        for bytes in 0..head {
            // Each cut is played once, with the ways of the others in turn.
            let path = ["/one/", "/send/", "/all/"][number % 3];
            let ending = [Ending::Close, Ending::CloseOneWay][number / 3 % 2];
            let behaviour = Behaviour::Cut { bytes, framing, ending };
            play_cut(&bed, path, behaviour, number / 6 % 2 == 0, number).await;
            number += 1;
        }
    }
    // A response that is cut within its body, and one that is whole.
    for framing in [Framing::Length, Framing::Chunked] {
        let (text, head) = framed_response("i-0-0.cut-00000", "cut-00000", framing);
        for bytes in head..text.len() {
            let path = ["/one/", "/all/"][number % 2];
            let behaviour = Behaviour::Cut { bytes, framing, ending: Ending::Close };
            play_cut(&bed, path, behaviour, true, number).await;
            number += 1;
        }
    }
    bed.leafs[0].set_behaviour(Behaviour::Normal);
    let answer = connect(&bed).await.get("/one/1", "after").await.expect("it is answered");
    assert_whole("/one/", "after", &answer, false);
}

/// Guards against the same where the leaf does not close the connection: the callers are answered at
/// their deadline at the latest, without a success.
#[tokio::test(flavor = "multi_thread")]
async fn response_whose_head_stalls_is_never_passed_on_as_whole() {
    let bed = EdgeBed::start(3, 1, 1).await;
    let mut number = 0;
    for framing in FRAMINGS {
        let (_, head) = framed_response("i-0-0.cut-00000", "cut-00000", framing);
        for bytes in [15, head / 2, head - 1] {
            wait_until_served(&bed, number).await;
            let path = ["/one/", "/send/", "/all/"][number % 3];
            let behaviour = Behaviour::Cut { bytes, framing, ending: Ending::Stall };
            play_cut(&bed, path, behaviour, false, number).await;
            bed.leafs[0].set_behaviour(Behaviour::Normal);
            number += 1;
        }
    }
}

/// Waits until requests are served again after a call that was not answered.
async fn wait_until_served(bed: &EdgeBed, number: usize) {
    let mut caller = connect(bed).await;
    let mut attempt = 0;
    eventually("requests are served again", async || {
        for path in ["/one/", "/all/"] {
            for _ in 0..5 {
                attempt += 1;
                let id = format!("again-{number}-{attempt}");
                let answer = caller.get(&format!("{path}{id}"), &id).await?;
                if answer.status != 200 || answer.header("x-missing-parts") == "1" {
                    return None;
                }
            }
        }
        Some(())
    })
    .await;
}
