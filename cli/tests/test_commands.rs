//! Runs the command line for callers and operators against real daemon processes.

use std::path::Path;
use std::process::Command;
use std::process::Output;

use jasmineusher_bench::fleet::FleetShape;
use jasmineusher_bench::fleet::zones;
use jasmineusher_bench::proxy::Fault;
use testutils::TestBed;

const DAEMON: &str = env!("CARGO_BIN_EXE_jasmineusherd");
const COMMAND: &str = env!("CARGO_BIN_EXE_jasmineusher");

fn small_fleet() -> FleetShape {
    FleetShape {
        zones: zones(&["muc-a"]),
        shards: 4,
        leafs: 4,
        replicas: 1,
        ..FleetShape::careline()
    }
}

fn run(exe: &str, args: &[&str]) -> Output {
    Command::new(exe).args(args).output().expect("the command runs")
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

fn daemons(bed: &TestBed) -> String {
    let addrs: Vec<_> = bed.daemons.iter().map(|daemon| daemon.addr.to_string()).collect();
    addrs.join(",")
}

#[test]
fn daemon_reports_a_wrong_setting_and_exits_with_2() {
    let output = run(DAEMON, &["--listen", "nowhere"]);
    assert_eq!(output.status.code(), Some(2));
    insta::assert_snapshot!(text(&output.stderr), @r#"
    jasmineusherd: Setting "listen" is "nowhere"; allowed is an address such as 127.0.0.1:8100
    Hint: see jasmineusherd --help
    "#);
}

#[test]
fn command_without_arguments_lists_its_subcommands_and_exits_with_2() {
    let output = run(COMMAND, &[]);
    assert_eq!(output.status.code(), Some(2));
    let printed = text(&output.stderr);
    for command in ["demo", "query", "check", "state", "charges"] {
        assert!(printed.contains(command), "{printed}");
    }
}

#[test]
fn check_accepts_a_valid_catalogue_and_reports_a_fault_with_its_place() {
    let examples = Path::new(env!("CARGO_MANIFEST_DIR")).join("../docs/examples");
    let valid = examples.join("lidwerk.toml");
    let output = run(COMMAND, &["check", valid.to_str().expect("the path is UTF-8")]);
    assert_eq!(output.status.code(), Some(0), "{}", text(&output.stdout));
    let folder = std::env::temp_dir().join(format!("jasmineusher-check-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("the folder is created");
    let invalid = folder.join("wrong.toml");
    let body = std::fs::read_to_string(&valid).expect("the example is read");
    std::fs::write(&invalid, body.replacen("0.9", "9.0", 1)).expect("the file is written");
    let output = run(COMMAND, &["check", invalid.to_str().expect("the path is UTF-8")]);
    std::fs::remove_dir_all(&folder).expect("the folder is removed");
    assert_eq!(output.status.code(), Some(1));
    let printed = text(&output.stdout);
    let printed = printed.split_once("wrong.toml").expect("the file is named").1;
    insta::assert_snapshot!(printed, @r#"
    :11: entry "symptom-lookup", field "minimum_coverage": is 9
      Hint: use a share from 0 to 1
    "#);
}

#[tokio::test(flavor = "multi_thread")]
async fn query_state_and_charges_cover_all_named_daemons() {
    let bed = TestBed::start(DAEMON, small_fleet(), 2).await;
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
    let charges: serde_json::Value =
        serde_json::from_slice(&output.stdout).expect("the output is JSON");
    assert_eq!(charges["lines"][0]["first_calls"], 4);
    assert_eq!(charges["lines"][0]["owner"], "lidwerk");
    let unreached = format!("{daemons},127.0.0.1:1");
    let output = run(COMMAND, &["charges", "--daemon", &unreached]);
    assert_eq!(output.status.code(), Some(1));
    assert!(text(&output.stdout).contains("not reached: 127.0.0.1:1"));
}

/// The entry is not idempotent, so each query needs a ticket. The first host runs the second query
/// but its answer is lost; resending it through the other host must not run it twice.
#[tokio::test(flavor = "multi_thread")]
async fn query_obtains_a_ticket_and_resends_through_another_host() {
    let bed = TestBed::start(DAEMON, small_fleet(), 2).await;
    let daemons = daemons(&bed);
    let send = |run: &str| {
        let params = format!("{{\"run\":\"{run}\"}}");
        let args = ["query", "--daemon", &daemons, "--entry", "send", "--params", &params];
        Command::new(COMMAND)
            .args(args)
            .args(["--limit-ms", "6000"])
            .output()
            .expect("the command runs")
    };
    assert_eq!(send("first").status.code(), Some(0));
    // The network holds back all answers of the first host to this caller.
    bed.network.set_fault([127, 0, 0, 1].into(), bed.daemon_configs[0].addr, Fault::AnswersCut);
    let output = tokio::task::block_in_place(|| send("second"));
    assert_eq!(output.status.code(), Some(0), "{}", text(&output.stdout));
    assert_eq!(bed.fleet.record.duplicate_runs(), 0);
}

/// An error message alone does not show the user how to write the argument.
#[test]
fn wrong_arguments_get_a_hint() {
    let output = run(COMMAND, &["query", "--daemon", "host:1", "--entry", "lookup"]);
    assert_eq!(output.status.code(), Some(2));
    insta::assert_snapshot!(text(&output.stderr), @r#"
    jasmineusher: Daemon address "host:1" is not IP:PORT
    Hint: list daemons as in: --daemon 127.0.0.1:8100,127.0.0.1:8101
    "#);
}
