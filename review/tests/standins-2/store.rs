//! Stand-in for the platform's store.

use std::collections::BTreeMap;
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

use crate::base64;
use crate::http::Reader;

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, (Vec<u8>, u64)>,
    /// All events so far, as JSON, with their revisions.
    log: Vec<(u64, String)>,
    /// Machines that are partitioned from the store: nothing passes between them and the store.
    cut: HashSet<IpAddr>,
}

/// The store. Clones are the same store.
#[derive(Clone, Default)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    /// Starts the store at an address.
    pub fn start(addr: SocketAddr) -> std::io::Result<Self> {
        let store = Self::default();
        let listener = TcpListener::bind(addr)?;
        let accepting = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = accepting.clone();
                std::thread::spawn(move || drop(store.serve(stream)));
            }
        });
        Ok(store)
    }

    /// Writes an item and returns its revision.
    pub fn put(&self, key: &str, value: &str) -> u64 {
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        state.items.insert(key.to_owned(), (value.as_bytes().to_vec(), revision));
        let event = item(key, value.as_bytes(), revision);
        state.log.push((revision, event));
        changed.notify_all();
        revision
    }

    /// Removes an item.
    pub fn remove(&self, key: &str) {
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        if state.items.remove(key).is_some() {
            state.revision += 1;
            let revision = state.revision;
            let event = format!("{{\"key\":\"{key}\",\"revision\":{revision},\"deleted\":true}}");
            state.log.push((revision, event));
            changed.notify_all();
        }
    }

    /// Partitions a machine from the store, or ends that.
    pub fn set_cut(&self, machine: IpAddr, is_cut: bool) {
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        if is_cut {
            state.cut.insert(machine);
        } else {
            state.cut.remove(&machine);
        }
        changed.notify_all();
    }

    /// Waits while a machine is partitioned. What was sent meanwhile arrives after that.
    fn wait_until_reachable(&self, machine: IpAddr) {
        let (state, changed) = &*self.state;
        let state = state.lock().unwrap();
        drop(changed.wait_while(state, |state| state.cut.contains(&machine)).unwrap());
    }

    fn serve(&self, mut stream: TcpStream) -> std::io::Result<()> {
        let machine = stream.peer_addr()?.ip();
        stream.set_nodelay(true)?;
        let mut reader = Reader::new(stream.try_clone()?);
        while let Some(request) = reader.message()? {
            self.wait_until_reachable(machine);
            let (_, path) = request.request_line();
            let (path, query) = path.split_once('?').unwrap_or((path, ""));
            let query: BTreeMap<_, _> =
                query.split('&').filter_map(|pair| pair.split_once('=')).collect();
            let get = |name: &str| query.get(name).copied().unwrap_or_default();
            let (status, body) = match path {
                "/kv-range" => (200, self.range(get("prefix"), get("after"))),
                "/kv-watch" => self.watch(
                    get("prefix"),
                    get("after").parse().unwrap_or(0),
                    Duration::from_millis(get("wait_ms").parse().unwrap_or(0)),
                ),
                _ => (404, "{}".to_owned()),
            };
            self.wait_until_reachable(machine);
            let length = body.len();
            let head = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {length}\r\n\r\n"
            );
            stream.write_all(format!("{head}{body}").as_bytes())?;
        }
        Ok(())
    }

    fn range(&self, prefix: &str, after: &str) -> String {
        let state = self.state.0.lock().unwrap();
        let fits = |key: &str| key.starts_with(prefix) && key > after;
        let items = state.items.iter().filter(|(key, _)| fits(key));
        let items: Vec<_> = items.map(|(key, (value, at))| item(key, value, *at)).collect();
        let (items, revision) = (items.join(","), state.revision);
        format!("{{\"items\":[{items}],\"has_more\":false,\"current_rev\":{revision}}}")
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> (u16, String) {
        let until = Instant::now() + wait;
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        loop {
            let needle = format!("{{\"key\":\"{prefix}");
            let fits = |(at, event): &&(u64, String)| *at > after && event.starts_with(&needle);
            let events: Vec<_> = state.log.iter().filter(fits).map(|(_, e)| e.clone()).collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let (events, revision) = (events.join(","), state.revision);
                return (200, format!("{{\"events\":[{events}],\"current_rev\":{revision}}}"));
            }
            state = changed.wait_timeout(state, left).unwrap().0;
        }
    }
}

fn item(key: &str, value: &[u8], revision: u64) -> String {
    let value = base64::encode(value);
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{value}\",\"revision\":{revision},\"created\":{revision},\"lease\":0}}"
    )
}
