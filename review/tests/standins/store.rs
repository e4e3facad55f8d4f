//! Stand-in for the platform's store: `/kv-range` and `/kv-watch` as PROTOCOL.md tells them.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::io::Write;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::record::Record;

struct Change {
    key: String,
    /// Absent if the key was removed.
    value: Option<String>,
    revision: u64,
}

#[derive(Default)]
struct State {
    revision: u64,
    /// Value and revision by key.
    items: BTreeMap<String, (String, u64)>,
    log: Vec<Change>,
    /// Machines that get no response at all.
    turned_away: HashSet<IpAddr>,
    /// Machines whose next answer to a watch is lost.
    losing: HashSet<IpAddr>,
    /// Machines whose answer was lost, and when.
    lost: HashMap<IpAddr, Instant>,
    /// Time and machine of each watch.
    watches: Vec<(Instant, IpAddr)>,
}

pub struct Store {
    pub addr: SocketAddr,
    state: Mutex<State>,
    changed: Condvar,
    record: Arc<Record>,
}

impl Store {
    pub fn start(record: Arc<Record>) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let addr = listener.local_addr().expect("it is bound");
        let state = Mutex::new(State { revision: 400, ..State::default() });
        let store = Arc::new(Self { addr, state, changed: Condvar::new(), record });
        let acceptor = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = acceptor.clone();
                std::thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Writes a value. Returns the time of the acknowledgement.
    pub fn put(&self, key: &str, value: &str) -> Instant {
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        state.items.insert(key.to_owned(), (value.to_owned(), revision));
        state.log.push(Change { key: key.to_owned(), value: Some(value.to_owned()), revision });
        self.record.line(format!("store: {key} written at revision {revision}"));
        self.changed.notify_all();
        Instant::now()
    }

    /// From now on, these machines get no response, also not to the watches that wait.
    pub fn turn_away(&self, machines: &[IpAddr]) {
        let mut state = self.state.lock().unwrap();
        state.turned_away = machines.iter().copied().collect();
        self.record.line(format!("store: gives no response to {machines:?}"));
        self.changed.notify_all();
    }

    /// Loses the next answer to a watch of this machine.
    pub fn lose_next_answer(&self, machine: IpAddr) {
        self.state.lock().unwrap().losing.insert(machine);
    }

    /// Returns when the answer to this machine was lost.
    pub fn lost_at(&self, machine: IpAddr) -> Option<Instant> {
        self.state.lock().unwrap().lost.get(&machine).copied()
    }

    /// Returns the machines that have sent a watch since `since`, and their latest ones.
    pub fn watchers(&self, since: Instant) -> BTreeMap<IpAddr, Instant> {
        let state = self.state.lock().unwrap();
        let recent = state.watches.iter().filter(|(at, _)| *at >= since);
        recent.map(|&(at, machine)| (machine, at)).collect()
    }

    fn serve(&self, mut stream: TcpStream) {
        let Ok(peer) = stream.peer_addr() else { return };
        let _ = stream.set_nodelay(true);
        let mut buf = Vec::new();
        while let Ok(Some(request)) = http::read(&mut stream, &mut buf) {
            let target = request.target().to_owned();
            self.record.line(format!("store: call of {} {target}", peer.ip()));
            let Some((status, body)) = self.answer(&target, peer.ip()) else {
                // The connection returns nothing further.
                while let Ok(Some(_)) = http::read(&mut stream, &mut buf) {}
                return;
            };
            let headers = [("Content-Type", "application/json")];
            if stream.write_all(&http::response(status, &headers, body.as_bytes())).is_err() {
                return;
            }
        }
    }

    /// Returns the answer, or nothing if the machine gets none.
    fn answer(&self, target: &str, machine: IpAddr) -> Option<(&'static str, String)> {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let query: HashMap<&str, String> = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .map(|(name, value)| (name, decode_percent(value)))
            .collect();
        let text = |name: &str| query.get(name).cloned().unwrap_or_default();
        let mut state = self.state.lock().unwrap();
        if state.turned_away.contains(&machine) {
            return None;
        }
        match path {
            "/kv-range" => {
                let (prefix, after) = (text("prefix"), text("after"));
                let fits = |key: &String| key.starts_with(&prefix) && *key > after;
                let items = state.items.iter().filter(|(key, _)| fits(key));
                let items: Vec<_> =
                    items.map(|(key, (value, revision))| item(key, value, *revision)).collect();
                let (items, revision) = (items.join(","), state.revision);
                let body = format!(
                    "{{\"items\":[{items}],\"has_more\":false,\"current_rev\":{revision}}}"
                );
                Some(("200 OK", body))
            }
            "/kv-watch" => {
                let after: u64 = text("after").parse().unwrap_or(0);
                let wait = Duration::from_millis(text("wait_ms").parse().unwrap_or(0));
                let until = Instant::now() + wait;
                state.watches.push((Instant::now(), machine));
                loop {
                    if state.turned_away.contains(&machine) {
                        return None;
                    }
                    let left = until.saturating_duration_since(Instant::now());
                    if state.revision > after || left.is_zero() {
                        break;
                    }
                    state = self.changed.wait_timeout(state, left).unwrap().0;
                }
                let prefix = text("prefix");
                let newer =
                    |change: &&Change| change.revision > after && change.key.starts_with(&prefix);
                let events: Vec<_> = state.log.iter().filter(newer).map(event).collect();
                if !events.is_empty() && state.losing.remove(&machine) {
                    state.lost.insert(machine, Instant::now());
                    self.record.line(format!("store: the answer to {machine} is lost"));
                    return None;
                }
                let (events, revision) = (events.join(","), state.revision);
                Some(("200 OK", format!("{{\"events\":[{events}],\"current_rev\":{revision}}}")))
            }
            _ => Some(("404 Not Found", "{}".to_owned())),
        }
    }
}

fn item(key: &str, value: &str, revision: u64) -> String {
    let value = encode_base64(value.as_bytes());
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{value}\",\"revision\":{revision},\
         \"created\":{revision},\"lease\":0}}"
    )
}

fn event(change: &Change) -> String {
    let Change { key, value, revision } = change;
    match value {
        Some(value) => item(key, value, *revision),
        None => format!("{{\"key\":\"{key}\",\"revision\":{revision},\"deleted\":true}}"),
    }
}

fn decode_percent(text: &str) -> String {
    let mut decoded = Vec::new();
    let mut bytes = text.bytes();
    while let Some(byte) = bytes.next() {
        if byte == b'%' {
            let hex: Vec<u8> = bytes.by_ref().take(2).collect();
            let hex = String::from_utf8_lossy(&hex).into_owned();
            decoded.push(u8::from_str_radix(&hex, 16).unwrap_or(b'?'));
        } else {
            decoded.push(byte);
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

fn encode_base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let padded = [group[0], *group.get(1).unwrap_or(&0), *group.get(2).unwrap_or(&0)];
        let number = u32::from_be_bytes([0, padded[0], padded[1], padded[2]]);
        for place in 0..4 {
            let digit = DIGITS[(number >> (18 - 6 * place)) as usize & 63];
            text.push(if place <= group.len() { digit as char } else { '=' });
        }
    }
    text
}
