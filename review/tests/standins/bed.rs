//! Daemon processes, started with the command of the deploy file.

use std::collections::BTreeMap;
use std::fs;
use std::fs::File;
use std::io::Write;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::record::Record;

/// Zones and their regions, as in a small deployment.
pub const ZONES: [(&str, &str); 3] =
    [("muc-a", "oberbayern"), ("nue-a", "franken"), ("aug-a", "schwaben")];

static RUNNING: Mutex<Vec<Child>> = Mutex::new(Vec::new());

/// Kills all daemons.
pub fn end_all_daemons() {
    let mut running = match RUNNING.lock() {
        Ok(running) => running,
        Err(poisoned) => poisoned.into_inner(),
    };
    for child in running.iter_mut() {
        let _ = child.kill();
        let _ = child.wait();
    }
    running.clear();
    let _ = fs::remove_dir_all(folder());
}

/// Returns the temporary folder of this run, for settings and logs.
fn folder() -> PathBuf {
    std::env::temp_dir().join(format!("jasmineusher-review-{}", std::process::id()))
}

/// One machine with its daemon.
#[derive(Clone, Debug)]
pub struct Machine {
    pub name: String,
    pub zone: &'static str,
    /// Its own loopback address.
    pub ip: IpAddr,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub control: SocketAddr,
}

fn free_port(ip: IpAddr) -> SocketAddr {
    let listener = TcpListener::bind((ip, 0)).expect("a port is free");
    listener.local_addr().expect("it is bound")
}

/// Returns the machines of a deployment with this number in each of [`ZONES`].
pub fn machines(per_zone: [usize; 3]) -> Vec<Machine> {
    let mut machines = Vec::new();
    for ((zone, _), count) in ZONES.into_iter().zip(per_zone) {
        for number in 1..=count {
            let ip = IpAddr::V4(Ipv4Addr::new(127, 0, 1, machines.len() as u8 + 1));
            let name = format!("front-{zone}-{number}");
            let (front, ready, control) = (free_port(ip), free_port(ip), free_port(ip));
            machines.push(Machine { name, zone, ip, front, ready, control });
        }
    }
    machines
}

/// Starts a daemon on each machine and waits until all are ready and know each other.
pub fn start(machines: &[Machine], store: SocketAddr, record: &Record) -> Result<(), String> {
    let root = PathBuf::from(env_or("ROOT", "."));
    let folder = folder();
    fs::create_dir_all(&folder).map_err(|e| e.to_string())?;
    let seeds: Vec<_> = ZONES
        .iter()
        .filter_map(|(zone, _)| machines.iter().find(|machine| machine.zone == *zone))
        .map(|machine| format!("\"{}\"", machine.control))
        .collect();
    for machine in machines {
        let path = folder.join(format!("{}.toml", machine.name));
        let text = settings(machine, store, &seeds.join(","));
        fs::write(&path, text).map_err(|e| e.to_string())?;
        let log = File::create(folder.join(format!("{}.log", machine.name)));
        let log = log.map_err(|e| e.to_string())?;
        let child = Command::new(root.join("target/release/jasmineusherd"))
            .args(["--edge", "--metrics-port", "9464"])
            .env("JASMINEUSHER_BOOT", &path)
            .stdout(log)
            .stderr(Stdio::null())
            .spawn()
            .map_err(|e| format!("the daemon does not start: {e}"))?;
        RUNNING.lock().unwrap().push(child);
        record.line(format!("daemon {} started at {}", machine.name, machine.front));
    }
    let until = Instant::now() + Duration::from_secs(15);
    for machine in machines {
        loop {
            let is_ready = get(machine.ready, "/ready").is_some_and(|(status, _)| status == 200);
            let state = get(machine.control, "/state").map(|(_, body)| body).unwrap_or_default();
            let known = state.matches("\"incarnation\"").count();
            if is_ready && known + 1 >= machines.len() {
                break;
            }
            if Instant::now() > until {
                return Err(format!("{} is not ready: {is_ready}, {known} hosts", machine.name));
            }
            std::thread::sleep(Duration::from_millis(50));
        }
    }
    record.say(format!("{} daemons are ready and know each other", machines.len()));
    Ok(())
}

fn env_or(name: &str, default: &str) -> String {
    std::env::var(name).unwrap_or_else(|_| default.to_owned())
}

/// Asks a daemon's own interface.
fn get(addr: SocketAddr, path: &str) -> Option<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&addr, Duration::from_millis(500)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(1))).ok()?;
    write!(stream, "GET {path} HTTP/1.1\r\nHost: {addr}\r\n\r\n").ok()?;
    let answer = http::read(&mut stream, &mut Vec::new()).ok()??;
    Some((answer.status(), String::from_utf8_lossy(&answer.body).into_owned()))
}

/// Settings with the bounds of `sites/lidwerk-suche.toml`.
fn settings(machine: &Machine, store: SocketAddr, seeds: &str) -> String {
    let Machine { name, zone, ip, front, ready, control } = machine;
    let regions: BTreeMap<_, _> = ZONES.into_iter().collect();
    let region = regions[zone];
    let zones: String = ZONES.map(|(zone, region)| format!("{zone} = \"{region}\"\n")).concat();
    format!(
        "node_name = \"{name}\"\nrole = \"edge\"\nmachine_class = \"front\"\n\
         serves = [\"front\",\"control\"]\nip = \"{ip}\"\nzone = \"{zone}\"\nregion = \"{region}\"\n\
         internal_ports = [7740,7755]\nseeds = [{seeds}]\nbootstrap = true\nfault_counted = false\n\
         discovery = \"platform\"\nentry = \"vip\"\nheartbeat_ms = 1200\n\
         contracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"scatter\",\
         \"platform\"]\n[zones]\n{zones}[listen_addrs]\nfront = \"{front}\"\n\
         ready_addr = \"{ready}\"\ncontrol = \"{control}\"\n[limits]\ncpu_share = 0.25\n\
         cpu_cores = 1\nmemory_mb = 260\nmax_fds = 4100\nlink_mbps = 1000.0\ndisk_mb = 0\n\
         [fault_tolerance]\nmachines = 2\nzones = 0\nregions = 0\n[bounds]\nseed_lag_s = 3\n\
         reuse_after_s = 2\ncontact_ms = 5000\nack_ms = 6000\ncatch_up_s = 4\ndrain_ms = 3000\n\
         grace_s = 6\nloss_slack_ms = 200\nconfig_apply_ms = 3000\nrollback_slack_ms = 250\n\
         skew_max_ms = 15000\nretry_ratio = 0.2\nretry_window_s = 10\nretry_slack = 58\n\
         recovery_s = 12\n[platform]\naddress = \"{store}\"\nform = \"read\"\nwrites_per_s = 400\n\
         reads_per_s = 2000\nhistory_s = 20\nvalue_bytes = 1048576\nmin_ttl_ms = 1000\n"
    )
}
