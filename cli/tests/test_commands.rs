//! The operator's and caller's command against real daemon processes.

use std::path::Path;
use std::process::Command;
use std::process::Output;

use jasmineusher_bench::fleet::FleetShape;
use jasmineusher_bench::fleet::zones;
use jasmineusher_bench::proxy::Fault;
use testutils::TestBed;

const DAEMON: &str = env!("CARGO_BIN_EXE_jasmineusherd");
const COMMAND: &str = env!("CARGO_BIN_EXE_jasmineusher");

fn small() -> FleetShape {
    FleetShape {
        zones: zones(&["muc-a"]),
        shards: 4,
        leafs: 4,
        replicas: 1,
        ..FleetShape::careline()
    }
}

fn run(exe: &str, args: &[&str]) -> Output {
    Command::new(exe).args(args).output().expect("the command starts")
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

fn daemons(bed: &TestBed) -> String {
    let addrs: Vec<_> = bed.daemons.iter().map(|daemon| daemon.addr.to_string()).collect();
    addrs.join(",")
}

#[test]
fn daemon_names_a_wrong_setting_and_exits_with_2() {
    let output = run(DAEMON, &["--listen", "nowhere"]);
    assert_eq!(output.status.code(), Some(2));
    insta::assert_snapshot!(text(&output.stderr), @r#"
    jasmineusherd: Setting "listen" is "nowhere"; allowed is an address such as 127.0.0.1:8100
    Hint: see jasmineusherd --help
    "#);
}

#[test]
fn command_without_arguments_shows_its_commands_and_exits_with_2() {
    let output = run(COMMAND, &[]);
    assert_eq!(output.status.code(), Some(2));
    let shown = text(&output.stderr);
    for command in ["demo", "query", "check", "state", "charges"] {
        assert!(shown.contains(command), "{shown}");
    }
}

#[test]
fn check_accepts_the_examples_and_names_each_fault() {
    let examples = Path::new(env!("CARGO_MANIFEST_DIR")).join("../docs/examples");
    let sound = examples.join("lidwerk.toml");
    let output = run(COMMAND, &["check", sound.to_str().expect("the path is UTF-8")]);
    assert_eq!(output.status.code(), Some(0), "{}", text(&output.stdout));
    let folder = std::env::temp_dir().join(format!("jasmineusher-check-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder is made");
    let wrong = folder.join("wrong.toml");
    let body = std::fs::read_to_string(&sound).expect("the example is read");
    std::fs::write(&wrong, body.replacen("0.9", "9.0", 1)).expect("a file is written");
    let output = run(COMMAND, &["check", wrong.to_str().expect("the path is UTF-8")]);
    std::fs::remove_dir_all(&folder).expect("the folder is removed");
    assert_eq!(output.status.code(), Some(1));
    let shown = text(&output.stdout);
    let shown = shown.split_once("wrong.toml").expect("the file is named").1;
    insta::assert_snapshot!(shown, @r#"
    :11: entry "symptom-lookup", field "minimum_coverage": is 9
      Hint: use a share from 0 to 1
    "#);
}

#[tokio::test(flavor = "multi_thread")]
async fn query_state_and_charges_work_together() {
    let bed = TestBed::start(DAEMON, small(), 2).await;
    let daemons = daemons(&bed);
    let output = run(COMMAND, &["query", "--daemon", &daemons, "--entry", "lookup", "--hits", "2"]);
    assert_eq!(output.status.code(), Some(0), "{}", text(&output.stderr));
    insta::assert_snapshot!(text(&output.stdout), @r"
    Complete: 4 of 4 shards, index version 1
        93.0  v1-s3-0
        76.0  v1-s2-2
    ");
    let output = run(COMMAND, &["state", "--daemon", &daemons]);
    assert_eq!(output.status.code(), Some(0));
    assert_eq!(text(&output.stdout).matches("ready").count(), 2);
    let output = run(COMMAND, &["charges", "--daemon", &daemons, "--json"]);
    let charges: serde_json::Value = serde_json::from_slice(&output.stdout).expect("JSON");
    assert_eq!(charges["lines"][0]["first_calls"], 4);
    assert_eq!(charges["lines"][0]["owner"], "lidwerk");
    let unreached = format!("{daemons},127.0.0.1:1");
    let output = run(COMMAND, &["charges", "--daemon", &unreached]);
    assert_eq!(output.status.code(), Some(1));
    assert!(text(&output.stdout).contains("not reached: 127.0.0.1:1"));
}

#[tokio::test(flavor = "multi_thread")]
async fn query_gets_a_ticket_by_itself_and_resends_through_another_host() {
    let bed = TestBed::start(DAEMON, small(), 2).await;
    let daemons = daemons(&bed);
    let send = |run: &str| {
        let params = format!("{{\"run\":\"{run}\"}}");
        let args = ["query", "--daemon", &daemons, "--entry", "send", "--params", &params];
        Command::new(COMMAND).args(args).args(["--limit-ms", "6000"]).output().expect("it starts")
    };
    assert_eq!(send("first").status.code(), Some(0));
    // All answers of the first host are lost to this caller.
    bed.network.set([127, 0, 0, 1].into(), bed.places[0].addr, Fault::AnswersCut);
    let output = tokio::task::block_in_place(|| send("second"));
    assert_eq!(output.status.code(), Some(0), "{}", text(&output.stdout));
    assert_eq!(bed.fleet.record.doubled(), 0);
}

#[test]
fn wrong_arguments_get_a_hint() {
    let output = run(COMMAND, &["query", "--daemon", "host:1", "--entry", "lookup"]);
    assert_eq!(output.status.code(), Some(2));
    insta::assert_snapshot!(text(&output.stderr), @r#"
    jasmineusher: Daemon address "host:1" is not IP:PORT
    Hint: list daemons as in: --daemon 127.0.0.1:8100,127.0.0.1:8101
    "#);
}
