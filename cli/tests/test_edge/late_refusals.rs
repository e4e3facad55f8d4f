//! Leafs that refuse a request and send a copy of the refusal later, where the next response is due.

use bytes::Bytes;

use crate::edge_bed::Behaviour;
use crate::edge_bed::Caller;
use crate::edge_bed::EdgeBed;

const REQUESTS: usize = 40;

/// Sends unsafe requests one after the other to leafs with this behaviour. Asserts that none of them
/// runs twice, that none runs which is answered 503, and that those that may have run get 502.
async fn assert_unsafe_requests_run_at_most_once(replicas: usize, behaviour: Behaviour) {
    let bed = EdgeBed::start(1, replicas, 1).await;
    bed.leafs.iter().for_each(|leaf| leaf.set_behaviour(behaviour));
    let addr = bed.daemons[0].callers;
    let mut caller = Caller::connect(addr).await.expect("the daemon accepts connections");
    let mut unanswered = 0;
    for number in 0..REQUESTS {
        let id = format!("late-{number}");
        let body = Bytes::from_static(b"send");
        let answer = caller.send("POST", "/send/1", &id, body).await;
        let status = answer.expect("the request is answered").status;
        let runs = bed.runs(&id);
        assert!(runs <= 1, "{id} ran {runs} times and was answered {status}");
        match status {
            200 => assert_eq!(runs, 1, "{id} was answered by the leaf that ran it"),
            502 => unanswered += 1,
            503 => assert_eq!(runs, 0, "{id} was answered 503, which promises that it never runs"),
            other => panic!("{id} was answered {other}"),
        }
    }
    assert!(unanswered > 0, "no copy of a refusal was taken for a response");
}

/// Guards against an unsafe request that runs twice: a late refusal of another request was taken as
/// the statement that this one had not run.
#[tokio::test(flavor = "multi_thread")]
async fn late_refusal_of_another_request_is_no_statement_about_this_one() {
    assert_unsafe_requests_run_at_most_once(2, Behaviour::LateRefusal { names_request: true })
        .await;
}

/// Guards against the same fault where refusals bear no id, so that a copy looks like the refusal of
/// any request.
#[tokio::test(flavor = "multi_thread")]
async fn late_refusal_without_an_id_is_no_statement_about_a_request() {
    assert_unsafe_requests_run_at_most_once(2, Behaviour::LateRefusal { names_request: false })
        .await;
}

/// Guards against the same fault where the only leaf gets a refused request again: a copy of its
/// first refusal bears the right id.
#[tokio::test(flavor = "multi_thread")]
async fn late_refusal_of_an_earlier_call_of_the_same_request_is_not_believed() {
    assert_unsafe_requests_run_at_most_once(1, Behaviour::LateRefusal { names_request: true })
        .await;
}
