//! Query tier over many search shards: sends a caller's query to a replica of each shard and merges
//! the replies.
//!
//! The modules that make decisions ([`query`], [`admission_queue`], [`limits`], [`quarantine`],
//! [`ledger`], …) are synchronous and receive the current time as an argument. [`coordinator`],
//! [`call`] and [`daemon`] apply them to connections.
//!
//! Two kinds of processes are built from these parts: [`daemon`] runs queries on documents that the
//! platform publishes as a whole, and [`edge_daemon`] passes opaque requests through to leafs that
//! the platform's key-value store lists.

#![deny(missing_docs)]

pub mod connection_activity;
pub mod answer;
pub mod answer_bytes;
pub mod backend;
pub mod leaf_estimates;
pub mod budget;
pub mod call;
pub mod call_context;
mod call_records;
pub mod caller_codec;
pub mod catalogue;
pub mod client;
pub mod caller_connections;
pub mod configuration_order;
pub mod connection_manager;
pub mod connection_share;
pub mod control;
pub mod counters;
pub mod crash_detector;
pub mod crash_verifier;
pub mod daemon;
pub mod watched_stream;
pub mod zone_rtt;
pub mod distribution;
pub mod driver;
pub mod edge;
pub mod edge_control;
pub mod edge_daemon;
pub mod error_text;
pub mod events;
pub mod exchange;
pub mod extra_calls;
pub mod fingerprint;
pub mod first_answer;
pub mod fleet;
pub mod fleet_budget;
pub mod fleet_link;
pub mod coordinator;
pub mod admission_queue;
pub mod latency_target;
pub mod forwarded_request;
pub mod hedge_timing;
pub mod held_connection;
pub mod host_room;
pub mod hosts;
pub mod http_client;
pub mod http_leaf;
pub mod ids;
pub mod cluster_state;
pub mod latency;
pub mod layout;
pub mod leaf;
pub mod leaf_codec;
pub mod leaf_directory;
pub mod leaf_limiter;
pub mod leaf_notices;

pub mod leaf_protocol;
pub mod leaf_reach;
pub mod ledger;
pub mod lifecycle;
pub mod limit_division;
pub mod limit_link;
pub mod limit_records;
pub mod limits;
pub mod membership;
pub mod metrics;
pub mod notice_records;
pub mod opaque;
pub mod opaque_answer;
pub mod opaque_catalogue;
pub mod opaque_coordinator;
pub mod opaque_forwarding;
pub mod opaque_placing;
pub mod opaque_view;
pub mod outage;
pub mod patch;
pub mod peer_protocol;
pub mod peers;
pub mod plan;
pub mod platform;
pub mod pool;
pub mod documents;
pub mod platform_store;
pub mod change_log;
pub mod quarantine;
pub mod query;
pub mod query_hedge;
pub mod query_outcome;
pub mod query_retry;
pub mod rate_limit;
pub mod reach_monitor;
pub mod reaching_hosts;
pub mod records;
pub mod relay;
pub mod relay_link;
pub mod relay_service;
pub mod relayed_calls;
pub mod request_forwarder;
pub mod retry_after;
pub mod room_forwarding;
pub mod room_hosts;
pub mod room_link;
pub mod running;
pub mod search_codec;
pub mod server;
pub mod settings;
pub mod shares;
pub mod call_report_link;
pub mod call_reports;
pub mod signature;
pub mod socket;
pub mod state;
pub mod suspect_link;
mod suspect_record;
pub mod suspect_report;
pub mod pause_detector;
pub mod subscriber;
pub mod subscription;
pub mod telemetry;
pub mod ticket;
pub mod ticketing;
pub mod tier;
pub mod weighted_round_robin;
pub mod work_placing;
