//! Reads what the platform has published, for the commands.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use bytes::Bytes;
use jasmineusher_lib::change_log::Change;
use jasmineusher_lib::change_log::Subject;
use jasmineusher_lib::http_client::HttpClient;
use jasmineusher_lib::platform_store::Decoder;
use jasmineusher_lib::platform_store::Keys;
use jasmineusher_lib::platform_store::PlatformStore;
use jasmineusher_platform::configuration::PlatformDecoder;
use jasmineusher_platform::store::StoreClient;

use super::CommandError;
use super::Result;

/// What the platform has published.
pub struct Published {
    /// The configuration in force; absent if there is none.
    pub configuration: Option<Bytes>,
    /// Number of leafs of each group. Entries that cannot be decoded are left out.
    pub leafs: BTreeMap<String, usize>,
}

/// Reads the configuration and the leafs' entries from the store at `addr`.
pub async fn read_published(addr: SocketAddr) -> Result<Published> {
    let store = StoreClient::new(addr, HttpClient::default());
    let mut configuration = None;
    let mut leafs: BTreeMap<String, usize> = BTreeMap::new();
    for change in read_keys(&store, Keys::Operator).await? {
        if change.subject == Subject::Configuration {
            configuration = change.value;
        }
    }
    for change in read_keys(&store, Keys::Leafs).await? {
        if let (Subject::Leaf(instance), Some(value)) = (&change.subject, &change.value)
            && let Ok(leaf) = PlatformDecoder.leaf(instance, value)
        {
            *leafs.entry(leaf.group).or_default() += 1;
        }
    }
    Ok(Published { configuration, leafs })
}

async fn read_keys(store: &StoreClient, keys: Keys) -> Result<Vec<Change>> {
    let mut changes = Vec::new();
    let mut after = None;
    loop {
        let page = store.list(keys, after).await;
        let page = page.map_err(|e| CommandError::Other(Box::new(e)))?;
        changes.extend(page.changes);
        match page.next {
            Some(next) => after = Some(next),
            None => return Ok(changes),
        }
    }
}
