//! Daemons as separate processes, with the command of the deploy file.

use std::fs::File;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::time::Duration;
use std::time::Instant;

use crate::http;

const PROGRAM: &str = "target/release/jasmineusherd";
const ARGUMENTS: [&str; 3] = ["--edge", "--metrics-port", "9464"];

/// Ports of all daemons of a run.
const FRONT_PORT: u16 = 8226;
const READY_PORT: u16 = 8227;
const CONTROL_PORT: u16 = 8224;

/// Loopback addresses of one run: 127.A.B.x with A and B that no other run uses.
pub struct Addresses {
    prefix: [u8; 2],
}

impl Addresses {
    /// Finds a range in which nothing listens.
    pub fn find() -> Result<Self, String> {
        let seed = std::process::id() as u64 * 7919;
        for step in 0..200u64 {
            let number = (seed + step * 101) % 50_000;
            let prefix = [10 + (number / 250) as u8, 1 + (number % 250) as u8];
            let found = Self { prefix };
            let probe = std::net::TcpListener::bind(SocketAddr::new(found.ip(1), CONTROL_PORT));
            if probe.is_ok() {
                return Ok(found);
            }
        }
        Err("no free loopback addresses".to_owned())
    }

    /// Returns address number `host`.
    pub fn ip(&self, host: u8) -> IpAddr {
        IpAddr::from([127, self.prefix[0], self.prefix[1], host])
    }
}

/// A daemon process, killed when dropped.
pub struct Daemon {
    pub ip: IpAddr,
    child: Child,
    settings: PathBuf,
}

/// Place of a daemon.
pub struct Place<'a> {
    pub name: &'a str,
    pub zone: &'a str,
    pub ip: IpAddr,
    pub seeds: &'a [IpAddr],
    pub store: SocketAddr,
    pub bounds: Bounds,
}

/// Bounds of a deployment in milliseconds.
#[derive(Clone, Copy)]
pub struct Bounds {
    pub contact: u64,
    pub drain: u64,
    pub config_apply: u64,
}

/// Bounds of `lidwerk-suche`.
pub const SMALL: Bounds = Bounds { contact: 5_000, drain: 3_000, config_apply: 3_000 };
/// Bounds of `lidwerk-suche-grown`.
pub const GROWN: Bounds = Bounds { contact: 6_000, drain: 5_000, config_apply: 5_000 };

impl Daemon {
    /// Starts a daemon with the settings of a small deployment (`lidwerk-suche`).
    pub fn start(place: &Place<'_>) -> Result<Self, String> {
        let Place { name, zone, ip, seeds, store, bounds } = place;
        let Bounds { contact, drain, config_apply } = bounds;
        let region = match *zone {
            "muc-a" => "oberbayern",
            "nue-a" => "franken",
            _ => "schwaben",
        };
        let seeds: Vec<_> = seeds.iter().map(|ip| format!("\"{ip}:{CONTROL_PORT}\"")).collect();
        let seeds = seeds.join(",");
        let text = format!(
            "node_name = \"{name}\"\nrole = \"edge\"\nmachine_class = \"front\"\nserves = [\"front\",\"control\"]\n\
             ip = \"{ip}\"\nzone = \"{zone}\"\nregion = \"{region}\"\ninternal_ports = [7740,7755]\nseeds = [{seeds}]\n\
             bootstrap = true\nfault_counted = false\ndiscovery = \"platform\"\nentry = \"vip\"\nheartbeat_ms = 1200\n\
             contracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"scatter\",\"platform\"]\n\
             [zones]\nmuc-a = \"oberbayern\"\nnue-a = \"franken\"\naug-a = \"schwaben\"\n\
             [listen_addrs]\nfront = \"{ip}:{FRONT_PORT}\"\nready_addr = \"{ip}:{READY_PORT}\"\ncontrol = \"{ip}:{CONTROL_PORT}\"\n\
             [limits]\ncpu_share = 0.25\ncpu_cores = 1\nmemory_mb = 260\nmax_fds = 4100\nlink_mbps = 1000.0\ndisk_mb = 0\n\
             [fault_tolerance]\nmachines = 2\nzones = 0\nregions = 0\n\
             [bounds]\nseed_lag_s = 3\nreuse_after_s = 2\ncontact_ms = {contact}\nack_ms = 6000\ncatch_up_s = 4\ndrain_ms = {drain}\n\
             grace_s = 6\nloss_slack_ms = 200\nconfig_apply_ms = {config_apply}\nrollback_slack_ms = 250\nskew_max_ms = 15000\n\
             retry_ratio = 0.2\nretry_window_s = 10\nretry_slack = 58\nrecovery_s = 12\n\
             [platform]\naddress = \"{store}\"\nform = \"read\"\nwrites_per_s = 400\nreads_per_s = 2000\nhistory_s = 20\n\
             value_bytes = 1048576\nmin_ttl_ms = 1000\n"
        );
        let file = format!("review-2-{}-{name}.toml", std::process::id());
        let settings = std::env::temp_dir().join(file);
        std::fs::write(&settings, text).map_err(|e| format!("settings: {e}"))?;
        let log = File::create(settings.with_extension("log")).map_err(|e| format!("log: {e}"))?;
        let child = Command::new(PROGRAM)
            .args(ARGUMENTS)
            .env("JASMINEUSHER_BOOT", &settings)
            .stdout(log)
            .spawn()
            .map_err(|e| format!("{PROGRAM} does not start: {e}"))?;
        Ok(Self { ip: *ip, child, settings })
    }

    /// Address for clients.
    pub fn front(&self) -> SocketAddr {
        SocketAddr::new(self.ip, FRONT_PORT)
    }

    /// Sends a signal by its name, such as `TERM`.
    #[allow(dead_code)]
    pub fn signal(&self, name: &str) {
        let _ =
            Command::new("kill").args([format!("-{name}"), self.child.id().to_string()]).status();
    }

    /// Waits until the daemon answers that it is ready.
    pub fn wait_until_ready(&self) -> Result<(), String> {
        let until = Instant::now() + Duration::from_secs(15);
        let request = "GET /ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";
        while Instant::now() < until {
            let addr = SocketAddr::new(self.ip, READY_PORT);
            let answer = http::call(addr, request, Duration::from_secs(1));
            if answer.is_ok_and(|answer| answer.status() == 200) {
                return Ok(());
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        Err(format!("the daemon at {} is not ready", self.ip))
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.settings);
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = std::fs::remove_file(self.settings.with_extension("log"));
        }
    }
}
