//! Stand-ins for the systems that daemons communicate with (platform, leafs, peers), test beds of
//! real daemon processes, and the experiments, load and reports of the command `bench`.

#![deny(missing_docs)]

pub mod bed;
pub mod exp_control;
pub mod exp_faults;
pub mod exp_fleet;
pub mod exp_latency;
pub mod experiment;
pub mod fit;
pub mod fleet;
pub mod http_service;
pub mod leaf;
pub mod load;
pub mod measure;
pub mod naive;
pub mod peers;
pub mod platform;
pub mod proxy;
pub mod report;
pub mod work;
