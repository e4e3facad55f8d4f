//! Coordination parts of a query tier over many search shards.
//!
//! The decision modules ([`query`], [`gate`], [`limits`], [`quarantine`], [`ledger`], …) are
//! synchronous and take the present time as an argument. [`front`], [`call`] and [`daemon`] run
//! them on sockets.

#![deny(missing_docs)]

pub mod answer;
pub mod backend;
pub mod belief;
pub mod budget;
pub mod call;
pub mod call_context;
pub mod catalogue;
pub mod client;
pub mod client_watch;
pub mod control;
pub mod counters;
pub mod daemon;
pub mod distribution;
pub mod events;
pub mod exchange;
pub mod front;
pub mod gate;
pub mod hosts;
pub mod http_client;
pub mod http_leaf;
pub mod ids;
pub mod latency;
pub mod layout;
pub mod leaf;
pub mod leaf_protocol;
pub mod ledger;
pub mod lifecycle;
pub mod limits;
pub mod membership;
pub mod patch;
pub mod peer_protocol;
pub mod peers;
pub mod plan;
pub mod platform;
pub mod pool;
pub mod publication;
pub mod quarantine;
pub mod query;
pub mod relay;
pub mod relay_link;
pub mod relay_service;
pub mod server;
pub mod settings;
pub mod shares;
pub mod signature;
pub mod state;
pub mod ticket;
pub mod ticketing;
pub mod tier;
