//! Stand-ins for the outside systems, and the load and experiment tool.

#![deny(missing_docs)]

pub mod bed;
pub mod fleet;
pub mod http_service;
pub mod leaf;
pub mod naive;
pub mod platform;
pub mod proxy;
pub mod work;
