//! Runs real daemon processes that serve opaque requests on a stand-in of the users' platform.

mod check;
mod competing_callers;
mod cold_leafs;
mod crashing_requests;
mod cut_heads;
mod edge_bed;
mod infeasible_requests;
mod extra_calls;
mod late_refusals;
mod leaf_notices;
mod leaf_rate_limits;
mod odd_entries;
mod places;
mod planned_stops;
mod room;
mod serving;
mod slow_readers;
mod soak;
mod store_copies;
mod unreachable_leafs;
